/// \file
/// Single-threaded event loop on which a program makes its decisions.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "hyssopspar/time.h"

namespace hyssopspar {

/// Runs posted functions, called events, one at a time on a thread it owns.
/// Post, TryPost and PostAt may be called from any thread.
class DecisionLoop {
 public:
  /// At most \p max_queued events posted by TryPost wait at a time. The events
  /// of Post and PostAt do not count. \p on_error, which may be empty, runs on
  /// the loop's thread with the message of an exception out of an event; the
  /// loop goes on with the next event.
  explicit DecisionLoop(
      std::size_t max_queued,
      std::function<void(const std::string&)> on_error = nullptr);
  ~DecisionLoop();
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  /// Queues \p event regardless of the limit. Meant for the completion of a
  /// call: the number of calls in flight bounds the number of such events.
  void Post(std::function<void()> event);

  /// Queues \p event, such as an incoming request; returns false when the limit
  /// of queued events is reached.
  bool TryPost(std::function<void()> event);

  /// Runs \p event on the loop's thread at time \p at.
  void PostAt(TimePoint at, std::function<void()> event);

  /// Sets the loop's only deadline: \p event runs at \p at and replaces the
  /// event set before. Does nothing when \p at is the deadline already set;
  /// TimePoint::max() cancels it. Call it on the loop's thread only.
  void SetDeadline(TimePoint at, std::function<void()> event);

  /// Ends the thread. Events that have not run yet are discarded.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace hyssopspar
