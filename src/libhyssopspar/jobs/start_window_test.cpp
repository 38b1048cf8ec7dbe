#include "hyssopspar/jobs/start_window.h"

#include <gtest/gtest.h>

namespace hyssopspar::jobs {
namespace {

constexpr milliseconds kShort{10};
constexpr milliseconds kLong{400};

class StartWindowTest : public testing::Test {
 protected:
  /// Confirms starts for two seconds while the window is full.
  void ConfirmWhileFull(milliseconds confirm_time) {
    for (int i = 0; i < 200; ++i) {
      m_now += milliseconds(10);
      EXPECT_EQ(RemainingStarts(&m_window, m_window.m_limit), 0U);
      AddConfirmation(&m_window, confirm_time, m_now);
    }
  }

  TimePoint m_now{std::chrono::hours(1)};
  StartWindow m_window;
};

TEST_F(StartWindowTest, AllowsTheDifferenceToTheLimit) {
  EXPECT_EQ(RemainingStarts(&m_window, m_window.m_limit - 3), 3U);
  EXPECT_EQ(RemainingStarts(&m_window, m_window.m_limit + 3), 0U);
}

TEST_F(StartWindowTest, GrowsWhileConfirmationsAreFast) {
  const std::size_t before = m_window.m_limit;
  ConfirmWhileFull(kShort);
  EXPECT_GT(m_window.m_limit, 4 * before);
}

TEST_F(StartWindowTest, ShrinksWhileConfirmationsAreSlowButNeverCloses) {
  ConfirmWhileFull(kLong);
  EXPECT_LT(m_window.m_limit, 32U);
  ConfirmWhileFull(kLong);
  EXPECT_GT(RemainingStarts(&m_window, 0), 0U);
}

TEST_F(StartWindowTest, StaysWhileItIsNotReached) {
  const std::size_t before = m_window.m_limit;
  for (int i = 0; i < 200; ++i) {
    m_now += milliseconds(10);
    AddConfirmation(&m_window, kShort, m_now);
  }
  EXPECT_EQ(m_window.m_limit, before);
}

}  // namespace
}  // namespace hyssopspar::jobs
