#include "hyssopspar/decision_loop.h"

#include <gtest/gtest.h>

#include <ctime>
#include <future>
#include <stdexcept>

#include "hyssopspar/logging.h"
#include "pvt/clock_timer.h"

namespace hyssopspar {
namespace {

TEST(DecisionLoopTest, GoesOnAfterAnEventThatThrows) {
  SetLogLevel("off");
  std::promise<std::string> error;
  DecisionLoop loop(
      10, [&error](const std::string& message) { error.set_value(message); });
  loop.Post([] { throw std::runtime_error("planted"); });
  std::promise<void> next;
  loop.Post([&next] { next.set_value(); });
  next.get_future().wait();
  EXPECT_EQ(error.get_future().get(), "planted");
  SetLogLevel("info");
}

TEST(DecisionLoopTest, RunsEventsAtTheirTime) {
  DecisionLoop loop(10);
  const TimePoint at = Clock::now() + milliseconds(20);
  std::promise<TimePoint> ran;
  loop.PostAt(at, [&ran] { ran.set_value(Clock::now()); });
  EXPECT_GE(ran.get_future().get(), at);
}

// A timer waits in parts, since the kernel does not count the time for which
// the machine is suspended.
TEST(DecisionLoopTest, LongWaitsAreSplit) {
  EXPECT_EQ(pvt::ClockWaitTraits::to_wait_duration(std::chrono::hours(1)),
            pvt::ClockWaitTraits::kMaxWait);
  EXPECT_EQ(pvt::ClockWaitTraits::to_wait_duration(milliseconds(3)),
            milliseconds(3));
}

// Leases and deadlines expire while the machine is suspended.
TEST(ClockTest, CountsTheTimeOfSuspensions) {
  timespec before{};
  timespec after{};
  clock_gettime(CLOCK_BOOTTIME, &before);
  const TimePoint now = Clock::now();
  clock_gettime(CLOCK_BOOTTIME, &after);
  const auto nanoseconds = [](const timespec& time) {
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  };
  EXPECT_GE(now.time_since_epoch(), nanoseconds(before));
  EXPECT_LE(now.time_since_epoch(), nanoseconds(after));
}

}  // namespace
}  // namespace hyssopspar
