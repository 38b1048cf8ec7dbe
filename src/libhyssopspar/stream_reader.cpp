#include "hyssopspar/stream_reader.h"

#include <algorithm>
#include <utility>

namespace hyssopspar {

namespace {

constexpr std::size_t kMaxRecordsPerRead = 1000;
/// How long the log may delay the response to a read at the end of the stream,
/// waiting for a record.
constexpr milliseconds kNewRecordWait{500};
constexpr milliseconds kReadTimeout{1500};
/// Delay before a failed read is repeated.
constexpr milliseconds kRetryDelay{100};

}  // namespace

StreamReader::StreamReader(std::string stream,
                           Offset from,
                           std::unique_ptr<LogStore> log,
                           Sink sink)
    : m_stream(std::move(stream)),
      m_next_offset(from),
      m_log(std::move(log)),
      m_sink(std::move(sink)),
      m_thread([this] { Run(); }) {}

StreamReader::~StreamReader() {
  Stop();
  m_thread.join();
}

void StreamReader::Stop() {
  {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_stop_requested = true;
  }
  m_stop_condition.notify_all();
}

bool StreamReader::WaitBeforeRetry() {
  std::unique_lock<std::mutex> lock(m_mutex);
  return m_stop_condition.wait_for(lock, kRetryDelay,
                                   [this] { return m_stop_requested; });
}

void StreamReader::Run() {
  while (true) {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      if (m_stop_requested) {
        return;
      }
    }
    StreamRead read;
    read.m_stream = m_stream;
    read.m_request_time = Clock::now();
    read.m_slice =
        m_log->Read(m_stream, m_next_offset, kMaxRecordsPerRead, kNewRecordWait,
                    read.m_request_time + kReadTimeout);
    const bool succeeded = read.m_slice.has_value();
    if (succeeded) {
      const LogSlice& slice = read.m_slice.value();
      m_next_offset = std::max(m_next_offset, slice.m_start);
      if (!slice.m_records.empty()) {
        m_next_offset = slice.m_records.back().m_offset + 1;
      }
    }
    m_sink(std::move(read));
    if (!succeeded && WaitBeforeRetry()) {
      return;
    }
  }
}

}  // namespace hyssopspar
