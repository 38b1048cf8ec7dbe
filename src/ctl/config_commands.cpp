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
/// How long an append whose answer was lost is looked for in the stream.
constexpr milliseconds kSearchLimit{10000};
constexpr milliseconds kReadWait{200};
constexpr std::size_t kReadRecords = 1000;

int Complain(const std::string& text) {
  std::cerr << "hyssopsparctl: " << text << "\n";
  return kExitFailure;
}

/// Reads to the end of the configuration stream.
Result<void> CatchUp(HttpLogStore* log, ConfigReplay* replay) {
  do {
    const TimePoint sent = Clock::now();
    const Result<LogSlice> slice =
        log->Read(kConfigStream, replay->Next(), kReadRecords, milliseconds(0),
                  sent + kCallTimeout);
    if (!slice) {
      return slice.error();
    }
    replay->Feed(slice.value(), sent);
    if (slice.value().m_records.empty() && !replay->IsReady()) {
      return Fail(ErrorCode::kUnavailable,
                  "configuration stream lost records and has no snapshot");
    }
  } while (!replay->IsReady());
  return Ok();
}

/// How a record of ours came out.
enum class Fate { kApplied, kConflict, kNoChange, kNotAppended, kUnknown };

/// Appends \p record and reads on until it is met; only then is its verdict
/// known.
Fate AppendAndFind(HttpLogStore* log,
                   ConfigReplay* replay,
                   const ConfigRecord& record) {
  const std::string payload = EncodeConfig(record);
  const Result<Offset> sent =
      log->Append(kConfigStream, payload, Clock::now() + kCallTimeout);
  const bool maybe = !sent && MayHaveTakenEffect(sent.error());
  if (!sent && !maybe) {
    return Fate::kNotAppended;
  }
  ConfigState state = replay->State();
  const TimePoint limit = Clock::now() + kSearchLimit;
  while (Clock::now() < limit) {
    const Result<LogSlice> slice =
        log->Read(kConfigStream, state.m_next, kReadRecords, kReadWait,
                  Clock::now() + kCallTimeout);
    if (!slice) {
      continue;
    }
    for (const LogRecord& read : slice.value().m_records) {
      const Result<ConfigRecord> decoded = DecodeConfig(read.m_payload);
      const ConfigVerdict verdict =
          decoded ? ApplyConfig(&state, read.m_offset, decoded.value())
                  : ConfigVerdict::kNoChange;
      const bool ours =
          read.m_payload == payload && (!sent || read.m_offset == sent.value());
      if (ours) {
        std::cout << "revision " << state.m_revision << "\n";
        return verdict == ConfigVerdict::kApplied    ? Fate::kApplied
               : verdict == ConfigVerdict::kConflict ? Fate::kConflict
                                                     : Fate::kNoChange;
      }
    }
  }
  return Fate::kUnknown;
}

int Conclude(Fate fate) {
  switch (fate) {
    case Fate::kApplied:
      return kExitOk;
    case Fate::kNoChange:
      std::cout << "nothing to change\n";
      return kExitOk;
    case Fate::kConflict:
      return Complain(
          "conflict: another operator published first; look at the revision "
          "in force and publish again");
    case Fate::kNotAppended:
      return Complain("not-run: the log is not available");
    case Fate::kUnknown:
      break;
  }
  return Complain("unknown: the record was not met in time; look again later");
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
    Result<std::string> text = ReadFileWhole(path);
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
    return Complain(ToString(files.error()));
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
  const Result<void> caught_up = CatchUp(&log, &replay);
  if (!caught_up) {
    return Complain(ToString(caught_up.error()));
  }
  record.m_base_revision = base.value_or(replay.State().m_revision);
  return Conclude(AppendAndFind(&log, &replay, record));
}

int SetOut(const std::string& name, bool out, const std::string& log_address) {
  HttpLogStore log(log_address);
  ConfigReplay replay;
  const Result<void> caught_up = CatchUp(&log, &replay);
  if (!caught_up) {
    return Complain(ToString(caught_up.error()));
  }
  return Conclude(AppendAndFind(&log, &replay, ConfigDrain{name, out}));
}

int ShowConfig(const std::string& log_address) {
  HttpLogStore log(log_address);
  ConfigReplay replay;
  const Result<void> caught_up = CatchUp(&log, &replay);
  if (!caught_up) {
    return Complain(ToString(caught_up.error()));
  }
  const ConfigState& state = replay.State();
  std::cout << "revision " << state.m_revision << "\n";
  for (const FailureDomainConfig& domain : state.m_doc.m_failure_domains) {
    const bool out = state.m_out_of_service.count(domain.m_name) > 0;
    std::cout << "failure domain " << domain.m_name
              << (out ? " out of service" : " in service") << "\n";
  }
  for (const std::string& name : state.m_out_of_service) {
    std::cout << "out of service: " << name << "\n";
  }
  return kExitOk;
}

}  // namespace hyssopspar::ctl
