/// \file
/// A thread that follows one log stream.

#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "hyssopspar/log_store.h"

namespace hyssopspar {

/// What a read returned, and when it was sent.
struct StreamRead {
  std::string m_stream;
  Result<LogSlice> m_slice = LogSlice{};
  TimePoint m_sent;
};

/// Reads a stream from an offset on, waiting for records at its end, and hands
/// every answer and every failure to \p sink, on its own thread.
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

  /// Asks the thread to end, without waiting for it.
  void Stop();

 private:
  void Run();
  bool PauseOrStop();

  std::string m_stream;
  Offset m_next;
  std::unique_ptr<LogStore> m_log;
  Sink m_sink;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace hyssopspar
