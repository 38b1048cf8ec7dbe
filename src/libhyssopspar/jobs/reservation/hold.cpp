#include "hyssopspar/jobs/reservation/hold.h"

namespace hyssopspar::jobs {

namespace {

/// True if the spare capacity, which may be negative, suffices for each
/// resource of which the task needs any.
bool FitsBeside(const Resources& need, const Resources& spare) {
  const auto fits = [](std::int64_t needed, std::int64_t available) {
    return needed <= 0 || needed <= available;
  };
  return fits(need.m_cpu_milli, spare.m_cpu_milli) &&
         fits(need.m_memory_mib, spare.m_memory_mib) &&
         fits(need.m_accelerators, spare.m_accelerators);
}

}  // namespace

HoldVerdict JudgePlacement(const Holds& holds,
                           int worker,
                           const PlannedTask& task) {
  const auto it = holds.find(worker);
  if (it == holds.end()) {
    return HoldVerdict::kFree;
  }
  const Hold& hold = it->second;
  if (hold.m_step == task.m_step || task.m_ends_at <= hold.m_starts_at ||
      FitsBeside(task.m_size, hold.m_spare)) {
    return HoldVerdict::kFree;
  }
  return hold.m_is_reservation ? HoldVerdict::kReserved : HoldVerdict::kLastGap;
}

void SubtractPlaced(int worker, const PlannedTask& task, Holds* holds) {
  const auto it = holds->find(worker);
  if (it != holds->end() && !(it->second.m_step == task.m_step) &&
      task.m_ends_at > it->second.m_starts_at) {
    it->second.m_spare -= task.m_size;
  }
}

}  // namespace hyssopspar::jobs
