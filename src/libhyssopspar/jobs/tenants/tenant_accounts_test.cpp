#include "hyssopspar/jobs/tenants/tenant_accounts.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace hyssopspar::jobs {
namespace {

StepPlan Step(const Resources& size, std::uint32_t tasks = 1) {
  StepPlan step;
  step.m_size = size;
  step.m_tasks = tasks;
  return step;
}

StepPlan Gang(const Resources& size, std::uint32_t tasks) {
  StepPlan step = Step(size, tasks);
  step.m_gang = true;
  return step;
}

TenantAccount Account(const Resources& quota, const Resources& used = {}) {
  TenantAccount account;
  account.m_policy.m_maximum = quota;
  account.m_used = used;
  return account;
}

bool Exceeds(std::int64_t used, std::int64_t limit, std::int64_t tolerance) {
  return limit > 0 && used > limit + tolerance;
}

/// True if \p used exceeds the quota of a resource that a task of the size
/// \p size takes, by more than \p tolerance. After its quota of another
/// resource has been lowered, a tenant may still start such tasks.
bool ExceedsQuota(const Resources& used,
                  const Resources& quota,
                  const Resources& size,
                  const Resources& tolerance) {
  return (size.m_cpu_milli > 0 && Exceeds(used.m_cpu_milli, quota.m_cpu_milli,
                                          tolerance.m_cpu_milli)) ||
         (size.m_memory_mib > 0 &&
          Exceeds(used.m_memory_mib, quota.m_memory_mib,
                  tolerance.m_memory_mib)) ||
         (size.m_accelerators > 0 &&
          Exceeds(used.m_accelerators, quota.m_accelerators,
                  tolerance.m_accelerators));
}

TEST(TenantAccountsTest, StartsAsManyTasksAsEveryLimitAllows) {
  const Resources each{1000, 2000, 1};
  EXPECT_EQ(StartsWithinQuota(Account({8000, 0, 0}), each, 20), 8U);
  EXPECT_EQ(StartsWithinQuota(Account({8000, 9000, 0}), each, 20), 4U);
  EXPECT_EQ(StartsWithinQuota(Account({8000, 9000, 2}), each, 20), 2U);
  EXPECT_EQ(StartsWithinQuota(Account({8000, 9000, 2}), each, 1), 1U);
  EXPECT_EQ(StartsWithinQuota(Account({}), each, 20), 20U);
}

// Runs that only workers know of are as real as placed ones.
TEST(TenantAccountsTest, CountsUnexpectedRuns) {
  TenantAccount account = Account({8000, 0, 0}, {3000, 0, 0});
  account.m_unexpected = {3000, 0, 0};
  EXPECT_EQ(StartsWithinQuota(account, {1000, 0, 0}, 20), 2U);
}

// A tenant that is over a lowered quota must not start anything.
TEST(TenantAccountsTest, StartsNothingOverALoweredQuota) {
  EXPECT_EQ(
      StartsWithinQuota(Account({4000, 0, 0}, {9000, 0, 0}), {1000, 0, 0}, 20),
      0U);
}

// A task larger than the quota waited for ever.
TEST(TenantAccountsTest, StartsOneTaskLargerThanTheQuotaAlone) {
  const Resources large{9000, 0, 0};
  EXPECT_EQ(StartsWithinQuota(Account({8000, 0, 0}), large, 20), 1U);
  EXPECT_EQ(StartsWithinQuota(Account({8000, 0, 0}, {1, 0, 0}), large, 20), 0U);
  TenantAccount account = Account({8000, 0, 0});
  account.m_unexpected = {0, 1, 0};
  EXPECT_EQ(StartsWithinQuota(account, large, 20), 0U);
}

// A gang that is larger than the quota must not exceed it by more than a task.
TEST(TenantAccountsTest, StartsGangsAsAWholeOrNotAtAll) {
  const StepPlan gang = Gang({3000, 0, 0}, 3);
  EXPECT_EQ(StepStartsWithinQuota(Account({9000, 0, 0}), gang, 3), 3U);
  EXPECT_EQ(StepStartsWithinQuota(Account({9000, 0, 0}, {1, 0, 0}), gang, 3),
            0U);
  EXPECT_EQ(StepStartsWithinQuota(Account({6000, 0, 0}), gang, 3), 3U);
  EXPECT_EQ(StepStartsWithinQuota(Account({5999, 0, 0}), gang, 3), 0U);
  EXPECT_EQ(StepStartsWithinQuota(Account({}), gang, 3), 3U);
  EXPECT_EQ(StepStartsWithinQuota(Account({1, 0, 0}), gang, 0), 0U);
}

// Room must not be kept for what can't start however long one waits.
TEST(TenantAccountsTest, TellsWhetherAStepFitsOnceOthersHaveEnded) {
  TenantAccount account = Account({8000, 0, 0});
  AddUse(&account, Step({6000, 0, 0}));
  EXPECT_TRUE(FitsQuotaEventually(account, Step({5000, 0, 0}), 1));
  StepPlan lasting = Step({4000, 0, 0});
  lasting.m_long_running = true;
  AddUse(&account, lasting);
  EXPECT_FALSE(FitsQuotaEventually(account, Step({5000, 0, 0}), 1));
  EXPECT_TRUE(FitsQuotaEventually(account, Step({4000, 0, 0}), 1));
  RemoveUse(&account, lasting);
  EXPECT_TRUE(FitsQuotaEventually(account, Step({5000, 0, 0}), 1));
  EXPECT_FALSE(FitsQuotaEventually(account, Gang({5000, 0, 0}, 3), 3));
}

TEST(TenantAccountsTest, TellsWhetherAPlacedTaskMayStillStart) {
  const StepPlan step = Step({2000, 0, 0});
  TenantAccount account = Account({4000, 0, 0});
  AddUse(&account, step);
  AddUse(&account, step);
  EXPECT_TRUE(IsStartStillAllowed(account, step));
  account.m_policy.m_maximum.m_cpu_milli = 3999;
  EXPECT_FALSE(IsStartStillAllowed(account, step));
  RemoveUse(&account, step);
  account.m_policy.m_maximum.m_cpu_milli = 1000;
  EXPECT_TRUE(IsStartStillAllowed(account, step));
  TenantAccount gang_alone = Account({4000, 0, 0}, {6000, 0, 0});
  EXPECT_TRUE(IsStartStillAllowed(gang_alone, Gang({2000, 0, 0}, 3)));
  gang_alone.m_policy.m_maximum.m_cpu_milli = 3999;
  EXPECT_FALSE(IsStartStillAllowed(gang_alone, Gang({2000, 0, 0}, 3)));
}

TEST(TenantAccountsTest, KeepsAccountsAndPoliciesOfRemovedTenants) {
  TenantAccounts accounts;
  EXPECT_TRUE(ApplyPolicies(&accounts, {{"a", 2, {1000, 0, 0}}}));
  EXPECT_FALSE(ApplyPolicies(&accounts, {{"a", 2, {1000, 0, 0}}}));
  EXPECT_TRUE(ApplyPolicies(&accounts, {{"b", 2, {}}}));
  EXPECT_EQ(AccountIndex(&accounts, "a"), 0U);
  EXPECT_EQ(accounts.m_accounts[0].m_policy.m_maximum.m_cpu_milli, 1000);
}

// The CPU of best-effort tasks counts: the platform's check counts it.
TEST(TenantAccountsTest, CountsTheCpuOfBestEffortTasks) {
  StepPlan step = Step({1000, 2000, 0});
  step.m_is_best_effort = true;
  EXPECT_EQ(CountedResourcesOf(step), (Resources{1000, 2000, 0}));
}

TEST(TenantAccountsTest, FindsTenantsOverTheirWeightedDominantShare) {
  TenantAccounts accounts;
  ApplyPolicies(&accounts, {{"a", 3, {}}, {"b", 1, {}}, {"idle", 9, {}}});
  const Resources total{100000, 100000, 0};
  accounts.m_accounts[0].m_used = {60000, 1000, 0};
  accounts.m_accounts[1].m_used = {1000, 30000, 0};
  const std::vector<bool> active = {true, true, false};
  EXPECT_EQ(FindTenantsOverShare(accounts, active, total),
            (std::vector<bool>{false, true, false}));
  accounts.m_accounts[1].m_used = {1000, 10000, 0};
  EXPECT_EQ(FindTenantsOverShare(accounts, active, total),
            (std::vector<bool>{true, false, false}));
  EXPECT_EQ(FindTenantsOverShare(accounts, active, {}),
            (std::vector<bool>{false, false, false}));
}

// A quota may be exceeded by nothing but one task that runs alone, or by what
// ran before the quota was lowered.
RC_GTEST_PROP(TenantAccountsProperty, NeverExceedsQuotas, ()) {
  TenantAccount account;
  std::vector<StepPlan> running;
  const int events = *rc::gen::inRange(1, 80);
  for (int i = 0; i < events; ++i) {
    const int kind = *rc::gen::inRange(0, 10);
    if (kind == 0) {
      account.m_policy.m_maximum = {*rc::gen::inRange(0, 20),
                                    *rc::gen::inRange(0, 20),
                                    *rc::gen::inRange(0, 4)};
    } else if (kind < 4 && !running.empty()) {
      const std::size_t ended =
          *rc::gen::inRange<std::size_t>(0, running.size());
      RemoveUse(&account, running[ended]);
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(ended));
    } else {
      StepPlan step = Step({*rc::gen::inRange(0, 12), *rc::gen::inRange(0, 12),
                            *rc::gen::inRange(0, 2)});
      step.m_long_running = *rc::gen::arbitrary<bool>();
      step.m_gang = *rc::gen::inRange(0, 4) == 0;
      const std::size_t wanted = *rc::gen::inRange<std::size_t>(1, 8);
      const bool was_idle = account.m_used == Resources();
      const std::size_t started = StepStartsWithinQuota(account, step, wanted);
      RC_ASSERT(started <= wanted);
      RC_ASSERT(!step.m_gang || started == 0 || started == wanted);
      for (std::size_t k = 0; k < started; ++k) {
        AddUse(&account, step);
        running.push_back(step);
      }
      RC_ASSERT(started == 0 ||
                !ExceedsQuota(account.m_used, account.m_policy.m_maximum,
                              step.m_size,
                              was_idle ? step.m_size : Resources()));
    }
    Resources sum;
    for (const StepPlan& step : running) {
      sum += step.m_size;
    }
    RC_ASSERT(account.m_used == sum);
  }
}

// A tenant must never be stuck with nothing running.
RC_GTEST_PROP(TenantAccountsProperty, StartsAtLeastOneTaskWhenIdle, ()) {
  const TenantAccount account =
      Account({*rc::gen::inRange(0, 20), *rc::gen::inRange(0, 20),
               *rc::gen::inRange(0, 4)});
  const Resources each{*rc::gen::inRange(0, 1000), *rc::gen::inRange(0, 1000),
                       *rc::gen::inRange(0, 8)};
  RC_ASSERT(StartsWithinQuota(account, each,
                              *rc::gen::inRange<std::size_t>(1, 9)) >= 1);
}

// Under saturation some tenant may always go first: not all are over.
RC_GTEST_PROP(TenantAccountsProperty,
              NotAllActiveTenantsAreOverTheirShare,
              ()) {
  TenantAccounts accounts;
  const int tenants = *rc::gen::inRange(1, 8);
  for (int i = 0; i < tenants; ++i) {
    ApplyPolicies(&accounts, {{std::to_string(i),
                               static_cast<double>(*rc::gen::inRange(1, 50)),
                               {}}});
    accounts.m_accounts.back().m_used = {*rc::gen::inRange(0, 100),
                                         *rc::gen::inRange(0, 100), 0};
  }
  const std::vector<bool> over = FindTenantsOverShare(
      accounts, std::vector<bool>(accounts.m_accounts.size(), true),
      {100, 100, 0});
  RC_ASSERT(std::count(over.begin(), over.end(), false) > 0);
}

}  // namespace
}  // namespace hyssopspar::jobs
