#include "ctl/config_commands.h"

#include <algorithm>
#include <filesystem>
#include <iostream>

#include "hyssopspar/config_replay.h"
#include "hyssopspar/http_platform.h"
#include "hyssopspar/program.h"
#include "hyssopspar/scheduler.h"

namespace hyssopspar::ctl {

namespace {

constexpr milliseconds kCallTimeout{2000};
/// Time limit for finding an appended record in the stream, also when the
/// answer to the append was lost.
constexpr milliseconds kVerdictTimeout{10000};
constexpr milliseconds kLongPollWait{200};
constexpr std::size_t kRecordsPerRead = 1000;

int ReportError(const std::string& text) {
  std::cerr << "hyssopsparctl: " << text << "\n";
  return kExitFailure;
}

/// Replays the configuration stream up to its current end.
Result<void> ReadToEnd(HttpLogStore* log, ConfigReplay* replay) {
  do {
    const TimePoint request_time = Clock::now();
    const Result<LogSlice> slice =
        log->Read(kConfigStream, replay->Next(), kRecordsPerRead,
                  milliseconds(0), request_time + kCallTimeout);
    if (!slice) {
      return slice.error();
    }
    replay->Feed(slice.value(), request_time);
    if (slice.value().m_records.empty() && !replay->IsReady()) {
      return Fail(ErrorCode::kUnavailable,
                  "configuration stream lost records and has no snapshot");
    }
  } while (!replay->IsReady());
  return Ok();
}

/// Outcome of appending a record to the configuration stream.
enum class AppendOutcome {
  kApplied,
  kConflict,
  kNoChange,
  kNotAppended,
  kUnknown
};

/// Appends \p record and reads the stream until the record is found, because
/// the records before it decide whether it takes effect. A record whose append
/// timed out is recognized by its payload.
AppendOutcome AppendAndAwaitVerdict(HttpLogStore* log,
                                    ConfigReplay* replay,
                                    const ConfigRecord& record) {
  const std::string payload = EncodeConfig(record);
  const Result<Offset> appended =
      log->Append(kConfigStream, payload, Clock::now() + kCallTimeout);
  const bool may_have_appended =
      !appended && MayHaveTakenEffect(appended.error());
  if (!appended && !may_have_appended) {
    return AppendOutcome::kNotAppended;
  }
  ConfigState state = replay->State();
  const TimePoint deadline = Clock::now() + kVerdictTimeout;
  while (Clock::now() < deadline) {
    const Result<LogSlice> slice =
        log->Read(kConfigStream, state.m_next, kRecordsPerRead, kLongPollWait,
                  Clock::now() + kCallTimeout);
    if (!slice) {
      continue;
    }
    for (const LogRecord& stream_record : slice.value().m_records) {
      const Result<ConfigRecord> decoded =
          DecodeConfig(stream_record.m_payload);
      const ConfigVerdict verdict =
          decoded ? ApplyConfig(&state, stream_record.m_offset, decoded.value())
                  : ConfigVerdict::kNoChange;
      const bool is_own_record =
          stream_record.m_payload == payload &&
          (!appended || stream_record.m_offset == appended.value());
      if (is_own_record) {
        std::cout << "revision " << state.m_revision << "\n";
        return verdict == ConfigVerdict::kApplied    ? AppendOutcome::kApplied
               : verdict == ConfigVerdict::kConflict ? AppendOutcome::kConflict
                                                     : AppendOutcome::kNoChange;
      }
    }
  }
  return AppendOutcome::kUnknown;
}

int ReportOutcome(AppendOutcome outcome) {
  switch (outcome) {
    case AppendOutcome::kApplied:
      return kExitOk;
    case AppendOutcome::kNoChange:
      std::cout << "nothing to change\n";
      return kExitOk;
    case AppendOutcome::kConflict:
      return ReportError(
          "conflict: another revision was published first; check the revision "
          "in force and publish again");
    case AppendOutcome::kNotAppended:
      return ReportError(
          "not-run: the log is unavailable; nothing was appended");
    case AppendOutcome::kUnknown:
      break;
  }
  return ReportError(
      "unknown: the record was not found in the stream before the time limit; "
      "check the revision in force later");
}

}  // namespace

Result<std::vector<ConfigFile>> CollectFiles(const std::string& directory) {
  namespace fs = std::filesystem;
  std::error_code ec;
  std::vector<std::string> paths;
  fs::recursive_directory_iterator it(directory, ec);
  for (; !ec && it != fs::recursive_directory_iterator(); it.increment(ec)) {
    if (it->is_regular_file() && it->path().extension() == ".toml") {
      paths.push_back(it->path().string());
    }
  }
  if (ec) {
    return Fail(ErrorCode::kNotFound, directory + ": " + ec.message());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<ConfigFile> files;
  for (const std::string& path : paths) {
    Result<std::string> text = ReadWholeFile(path);
    if (!text) {
      return text.error();
    }
    files.push_back(ConfigFile{path, std::move(text.value())});
  }
  return files;
}

int Validate(const std::string& directory) {
  const Result<std::vector<ConfigFile>> files = CollectFiles(directory);
  if (!files) {
    return ReportError(ToString(files.error()));
  }
  std::vector<std::string> problems;
  CompileConfig(files.value(), &problems);
  for (const std::string& problem : problems) {
    std::cerr << problem << "\n";
  }
  if (!problems.empty()) {
    return kExitUsage;
  }
  std::cout << files.value().size() << " files ok\n";
  return kExitOk;
}

int Publish(const std::string& directory,
            const std::string& log_address,
            std::optional<Revision> base) {
  const int valid = Validate(directory);
  if (valid != kExitOk) {
    return valid;
  }
  std::vector<std::string> problems;
  ConfigPublish record;
  record.m_doc = CompileConfig(CollectFiles(directory).value(), &problems);
  record.m_writer = RandomId();
  HttpLogStore log(log_address);
  ConfigReplay replay;
  const Result<void> caught_up = ReadToEnd(&log, &replay);
  if (!caught_up) {
    return ReportError(ToString(caught_up.error()));
  }
  record.m_base_revision = base.value_or(replay.State().m_revision);
  return ReportOutcome(AppendAndAwaitVerdict(&log, &replay, record));
}

int SetOutOfService(const std::string& name,
                    bool out_of_service,
                    const std::string& log_address) {
  HttpLogStore log(log_address);
  ConfigReplay replay;
  const Result<void> caught_up = ReadToEnd(&log, &replay);
  if (!caught_up) {
    return ReportError(ToString(caught_up.error()));
  }
  return ReportOutcome(
      AppendAndAwaitVerdict(&log, &replay, ConfigDrain{name, out_of_service}));
}

int ShowConfig(const std::string& log_address) {
  HttpLogStore log(log_address);
  ConfigReplay replay;
  const Result<void> caught_up = ReadToEnd(&log, &replay);
  if (!caught_up) {
    return ReportError(ToString(caught_up.error()));
  }
  const ConfigState& state = replay.State();
  std::cout << "revision " << state.m_revision << "\n";
  for (const FailureDomainConfig& domain : state.m_doc.m_failure_domains) {
    const bool out_of_service = state.m_out_of_service.count(domain.m_name) > 0;
    std::cout << "failure domain " << domain.m_name
              << (out_of_service ? " out of service" : " in service") << "\n";
  }
  for (const std::string& name : state.m_out_of_service) {
    std::cout << "out of service: " << name << "\n";
  }
  return kExitOk;
}

}  // namespace hyssopspar::ctl
