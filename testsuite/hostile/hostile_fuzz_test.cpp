// Fuzz targets: valid HTTP messages, jobs and stored records with random
// changes. More executions by hand:
//   RC_PARAMS="seed=N max_success=100000" hostile_fuzz_test

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <tuple>
#include <vector>

#include "hyssopspar/jobs/records.h"
#include "hyssopspar/store/record_batch.h"
#include "platform/wire.h"
#include "pvt/message_reader.h"
#include "testsuite/platform/standin/sample_messages.h"

namespace hyssopspar {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// A change of a text: position, kind, and byte or length.
using Change = std::tuple<std::uint16_t, std::uint8_t, char>;

std::string Apply(std::string text, const std::vector<Change>& changes) {
  static const std::vector<std::string> kPieces = {"\r\n",
                                                   "\n",
                                                   "\r",
                                                   "\r\n\r\n",
                                                   ":",
                                                   ";x=",
                                                   "[[[[",
                                                   "{\"a\":",
                                                   "\"",
                                                   "1e99",
                                                   "99999999999999999999",
                                                   "-1",
                                                   "0",
                                                   "null",
                                                   "]}"};
  for (const Change& change : changes) {
    const std::size_t at = std::get<0>(change) % (text.size() + 1);
    const std::size_t kind = std::get<1>(change);
    const char byte = std::get<2>(change);
    if (kind % 4 == 0) {
      text.insert(at, 1, byte);
    } else if (kind % 4 == 1 && at < text.size()) {
      text[at] = byte;
    } else if (kind % 4 == 2) {
      text.erase(at, static_cast<unsigned char>(byte) % 8 + 1);
    } else {
      text.insert(at, kPieces[kind / 4 % kPieces.size()]);
    }
  }
  return text;
}

/// Whether a message was accepted. A message that isn't may be rejected at
/// once or be awaited until its sender's time is over: with a bare CR or LF,
/// the parser may see the fault only at the next line end.
struct Verdict {
  bool m_done = false;
  std::string m_body;
  bool operator==(const Verdict& other) const {
    return m_done == other.m_done && m_body == other.m_body;
  }
};

/// Parses \p text as a connection does that receives \p piece bytes at a time.
template <bool is_request>
Verdict Parse(const std::string& text, std::size_t piece) {
  constexpr std::size_t kMaxBuffer = 4096;
  beast::flat_buffer buffer(kMaxBuffer);
  http::parser<is_request, http::string_body> parser;
  parser.body_limit(1000);
  parser.header_limit(1000);
  Verdict verdict;
  std::size_t position = 0;
  while (true) {
    beast::error_code ec;
    const pvt::ParseStep step = pvt::ParseBuffered(&parser, &buffer, &ec);
    verdict.m_done = step == pvt::ParseStep::kDone;
    if (verdict.m_done || step == pvt::ParseStep::kFailed) {
      break;
    }
    const std::size_t size =
        std::min({piece, text.size() - position,
                  pvt::NextReadBytes(buffer, parser.is_header_done())});
    if (step == pvt::ParseStep::kReadMore) {
      if (size == 0) {
        break;
      }
      std::copy_n(text.data() + position, size,
                  static_cast<char*>(buffer.prepare(size).data()));
      buffer.commit(size);
      position += size;
    }
    RC_ASSERT(buffer.capacity() <= kMaxBuffer);
  }
  verdict.m_body = verdict.m_done ? parser.get().body() : "";
  RC_ASSERT(verdict.m_body.size() <= 1000U);
  return verdict;
}

const std::vector<std::string> kRequests = {
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 11\r\n\r\nhello world",
    "POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    "5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nt: 1\r\n\r\n",
    "GET /q/00000000000000aa HTTP/1.1\r\nhost: a\r\nexpect: "
    "100-continue\r\n\r\nGET / HTTP/1.1\r\n\r\n"};
const std::vector<std::string> kResponses = {
    "HTTP/1.1 200 OK\r\ncontent-length: 11\r\n\r\nhello world",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: "
    "0\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n"
    "0\r\nt: 1\r\n\r\n"};

// A message that means one thing when it arrives whole and another in pieces
// lets a client smuggle a request.
RC_GTEST_PROP(HostileFuzz,
              MessagesAreParsedAlikeInPieces,
              (const std::vector<Change>& changes)) {
  const std::size_t piece = *rc::gen::inRange<std::size_t>(1, 40);
  const std::string request = Apply(*rc::gen::elementOf(kRequests), changes);
  RC_ASSERT(Parse<true>(request, request.size()) ==
            Parse<true>(request, piece));
  const std::string response = Apply(*rc::gen::elementOf(kResponses), changes);
  RC_ASSERT(Parse<false>(response, response.size()) ==
            Parse<false>(response, piece));
}

/// Both results are allowed; the report tells how often each occurred.
template <class T>
void Accept(const Result<T>& result) {
  RC_CLASSIFY(result.has_value(), "decoded");
}

// The decoders return an error for what they reject; an exception or a crash
// ends the event of another request, or the process.
RC_GTEST_PROP(HostileFuzz,
              JobsAreDecodedOrRejected,
              (const std::vector<Change>& changes)) {
  Accept(platform::DecodeJobBody(Apply(review::kLastingJob, changes)));
  Accept(platform::DecodeHoldAnswer(Apply(review::kRunLists, changes)));
}

RC_GTEST_PROP(HostileFuzz,
              RecordsAreDecodedOrRejected,
              (const std::vector<Change>& changes)) {
  jobs::JobProgress progress;
  for (std::uint32_t i = 0; i < 5; ++i) {
    progress.m_task_states.push_back(jobs::TaskState::kRunning);
    progress.m_run_numbers.push_back(i);
    progress.m_failure_counts.push_back(0);
    progress.m_worker_slots.push_back(1);
  }
  progress.m_workers = {"i-1"};
  Accept(jobs::DecodeProgress(Apply(jobs::EncodeProgress(progress), changes)));
  const std::string owner = jobs::EncodeOwner(jobs::OwnerRecord());
  Accept(jobs::DecodeOwner(Apply(owner, changes)));
  Accept(jobs::DecodeModel(Apply(owner, changes)));
  Accept(jobs::DecodeSubmission(
      Apply(jobs::EncodeSubmission(jobs::Submission()), changes)));
  Accept(DecodeRecords(
      Apply(EncodeRecords({{"key", "value"}, {"k", ""}}), changes)));
  Accept(platform::DecodePage(
      Apply(R"({"records":[{"key":"a","value":"YQ=="}],"next":3})", changes)));
}

}  // namespace
}  // namespace hyssopspar
