/// \file
/// Thread that reads one log stream continuously.

#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "hyssopspar/log_store.h"

namespace hyssopspar {

/// Result of one read of a stream.
struct StreamRead {
  std::string m_stream;
  Result<LogSlice> m_slice = LogSlice{};
  TimePoint m_request_time;  ///< When the read was requested.
};

/// Reads a stream from offset \p from on, on a thread that it owns, and waits
/// for new records at the end of the stream. Passes the result of every read,
/// successful or failed, to \p sink on that thread. A failed read is repeated
/// after a delay.
class StreamReader {
 public:
  using Sink = std::function<void(StreamRead)>;

  StreamReader(std::string stream,
               Offset from,
               std::unique_ptr<LogStore> log,
               Sink sink);
  ~StreamReader();
  StreamReader(const StreamReader&) = delete;
  StreamReader& operator=(const StreamReader&) = delete;

  /// Requests the thread to end, without waiting for it. The destructor waits.
  void Stop();

 private:
  void Run();

  /// Waits before a failed read is repeated. Returns true when Stop was called.
  bool WaitBeforeRetry();

  std::string m_stream;
  Offset m_next_offset;  ///< Where the next read starts.
  std::unique_ptr<LogStore> m_log;
  Sink m_sink;
  std::mutex m_mutex;
  std::condition_variable m_stop_condition;
  bool m_stop_requested = false;
  std::thread m_thread;
};

}  // namespace hyssopspar
