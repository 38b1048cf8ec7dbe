/// \file
/// Thread on which decisions are made, fed by events and timers.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "hyssopspar/time.h"

namespace hyssopspar {

/// Runs functions one after another on a thread of its own.
class DecisionLoop {
 public:
  /// At most \p capacity requests wait in TryPost at a time.
  explicit DecisionLoop(std::size_t capacity);
  ~DecisionLoop();
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  /// Queues the answer of a call that is in flight; their number is bounded by
  /// that of the calls.
  void Post(std::function<void()> event);

  /// Queues an event from outside, or returns false when too many wait.
  bool TryPost(std::function<void()> event);

  /// Runs \p event at \p at, from the loop's thread.
  void PostAt(TimePoint at, std::function<void()> event);

  /// The one deadline of the loop; setting it again replaces it. Call it on
  /// the loop's thread only.
  void SetDeadline(TimePoint at, std::function<void()> event);

  /// Ends the thread; what waits is dropped.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace hyssopspar
