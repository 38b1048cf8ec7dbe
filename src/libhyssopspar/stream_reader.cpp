#include "hyssopspar/stream_reader.h"

#include <algorithm>
#include <utility>

namespace hyssopspar {

namespace {

constexpr std::size_t kReadRecords = 1000;
/// Time the log holds a read that has nothing to return.
constexpr milliseconds kReadWait{500};
constexpr milliseconds kReadTimeout{1500};
/// Pause after a failed read.
constexpr milliseconds kRetryPause{100};

}  // namespace

StreamReader::StreamReader(std::string stream,
                           Offset from,
                           std::unique_ptr<LogStore> log,
                           Sink sink)
    : m_stream(std::move(stream)),
      m_next(from),
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
    m_stopping = true;
  }
  m_changed.notify_all();
}

bool StreamReader::PauseOrStop() {
  std::unique_lock<std::mutex> lock(m_mutex);
  return m_changed.wait_for(lock, kRetryPause, [this] { return m_stopping; });
}

void StreamReader::Run() {
  while (true) {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      if (m_stopping) {
        return;
      }
    }
    StreamRead read;
    read.m_stream = m_stream;
    read.m_sent = Clock::now();
    read.m_slice = m_log->Read(m_stream, m_next, kReadRecords, kReadWait,
                               read.m_sent + kReadTimeout);
    const bool good = read.m_slice.has_value();
    if (good) {
      const LogSlice& slice = read.m_slice.value();
      m_next = std::max(m_next, slice.m_start);
      if (!slice.m_records.empty()) {
        m_next = slice.m_records.back().m_offset + 1;
      }
    }
    m_sink(std::move(read));
    if (!good && PauseOrStop()) {
      return;
    }
  }
}

}  // namespace hyssopspar
