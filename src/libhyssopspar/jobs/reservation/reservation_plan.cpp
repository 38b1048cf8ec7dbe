#include "hyssopspar/jobs/reservation/reservation_plan.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace hyssopspar::jobs {

namespace {

/// Wait from which a step may get reservations. Shorter waits end with the
/// next completions on a fleet of hundreds of workers.
constexpr milliseconds kMinWait{500};
/// A step that has not been tried for this long doesn't wait for capacity.
constexpr milliseconds kMaxUnseen{1000};
/// Longest time until the expected start of a reservation.
constexpr milliseconds kMaxLookAhead{30000};
/// A reservation is kept for twice the expected time, since run times are known
/// up to a factor of two, and this much longer.
constexpr milliseconds kExpiryMargin{500};
/// At most one worker in this many has a reservation. The step that has waited
/// longest may have up to a half of them, and after kMaxLimitedWait as many as
/// it needs: otherwise a gang as wide as the fleet would never start.
constexpr std::size_t kReservedDivisor = 16;
constexpr std::size_t kOldestReservedDivisor = 2;
constexpr milliseconds kMaxLimitedWait{10000};
/// Reservations of a step whose tasks may start one by one.
constexpr std::uint32_t kMaxReservationsOfStep = 4;
/// Waiting steps that a plan considers, oldest first. Bounds its time.
constexpr std::size_t kMaxPlannedSteps = 32;

/// Room for one more task of a step on a worker.
struct Slot {
  TimePoint m_at;
  std::size_t m_worker = 0;   ///< Position in the list of forecasts.
  std::uint32_t m_count = 0;  ///< Tasks of the step there, with this one.

  friend bool operator<(const Slot& a, const Slot& b) {
    return std::tie(a.m_at, a.m_worker, a.m_count) <
           std::tie(b.m_at, b.m_worker, b.m_count);
  }
};

Resources Times(const Resources& size, std::uint32_t count) {
  Resources total = size;
  total.m_cpu_milli *= count;
  total.m_memory_mib *= count;
  total.m_accelerators *= count;
  return total;
}

bool MayRun(const WorkerForecast& worker, const WaitingStep& step) {
  return worker.m_service == step.m_service &&
         (step.m_label.empty() ||
          std::find(worker.m_labels.begin(), worker.m_labels.end(),
                    step.m_label) != worker.m_labels.end());
}

std::uint32_t MaxTasksOn(int worker, const WaitingStep& step) {
  if (step.m_max_per_worker == 0) {
    return step.m_tasks;
  }
  const std::size_t i = static_cast<std::size_t>(worker);
  const std::uint32_t present =
      i < step.m_on_worker.size() ? step.m_on_worker[i] : 0;
  return std::min(step.m_tasks, step.m_max_per_worker -
                                    std::min(step.m_max_per_worker, present));
}

/// The earliest slots for \p count tasks of the step, on workers without holds.
std::vector<Slot> EarliestSlots(const std::vector<WorkerForecast>& workers,
                                const WaitingStep& step,
                                std::uint32_t count,
                                TimePoint now,
                                const Holds& holds) {
  std::vector<Slot> slots;
  for (std::size_t i = 0; i < workers.size(); ++i) {
    const CapacityForecast& capacity = workers[i].m_capacity;
    if (!MayRun(workers[i], step) || holds.count(capacity.m_worker) > 0) {
      continue;
    }
    const std::uint32_t limit =
        std::min(count, MaxTasksOn(capacity.m_worker, step));
    for (std::uint32_t n = 1; n <= limit; ++n) {
      const TimePoint at = EarliestFit(capacity, Times(step.m_need, n), now);
      if (at > now + kMaxLookAhead) {
        break;
      }
      slots.push_back({at, i, n});
    }
  }
  const std::size_t kept = std::min<std::size_t>(count, slots.size());
  std::partial_sort(slots.begin(),
                    slots.begin() + static_cast<std::ptrdiff_t>(kept),
                    slots.end());
  slots.resize(kept);
  return slots;
}

/// The holds for the tasks of \p slots, which are in ascending order.
Holds MakeHolds(const std::vector<WorkerForecast>& workers,
                const std::pair<const StepKey, WaitingStep>& entry,
                const std::vector<Slot>& slots,
                TimePoint now) {
  const WaitingStep& step = entry.second;
  Holds holds;
  for (const Slot& slot : slots) {
    const CapacityForecast& capacity = workers[slot.m_worker].m_capacity;
    Hold& hold = holds[capacity.m_worker];
    hold.m_step = entry.first;
    hold.m_tasks = slot.m_count;
    hold.m_size = Times(step.m_need, slot.m_count);
    hold.m_granted_at = hold.m_counted_until = now;
    hold.m_starts_at = step.m_gang ? slots.back().m_at : slot.m_at;
    hold.m_expires_at =
        hold.m_starts_at + (hold.m_starts_at - now) + kExpiryMargin;
    hold.m_spare = FreeAt(capacity, hold.m_starts_at) - hold.m_size;
  }
  return holds;
}

const WorkerForecast* FindWorker(const std::vector<WorkerForecast>& workers,
                                 int index) {
  const auto it =
      std::lower_bound(workers.begin(), workers.end(), index,
                       [](const WorkerForecast& worker, int wanted) {
                         return worker.m_capacity.m_worker < wanted;
                       });
  return it != workers.end() && it->m_capacity.m_worker == index ? &*it
                                                                 : nullptr;
}

/// Capacity that the holds are expected to keep idle until they start, and
/// their gain: the CPU of the tasks for the time by which they start earlier.
/// Without a reservation a task is expected to wait as long again as it has
/// waited.
struct Economy {
  double m_idle_core_ms = 0;
  double m_gain_core_ms = 0;
};

Economy EconomyOf(const std::vector<WorkerForecast>& workers,
                  const WaitingStep& step,
                  const Holds& holds,
                  TimePoint now) {
  Economy economy;
  for (const std::pair<const int, Hold>& entry : holds) {
    const Hold& hold = entry.second;
    const Duration earlier = (now - step.m_since) - (hold.m_starts_at - now);
    economy.m_gain_core_ms +=
        static_cast<double>(hold.m_size.m_cpu_milli) / 1000 *
        std::chrono::duration<double, std::milli>(earlier).count();
    economy.m_idle_core_ms +=
        IdleCoreMillis(FindWorker(workers, entry.first)->m_capacity,
                       hold.m_size, now, hold.m_starts_at);
  }
  return economy;
}

/// Adds the capacity kept idle since the last plan.
void CountIdleCapacity(const std::vector<WorkerForecast>& workers,
                       TimePoint now,
                       ReservationState* state) {
  for (std::pair<const int, Hold>& entry : state->m_holds) {
    Hold& hold = entry.second;
    const WorkerForecast* const worker = FindWorker(workers, entry.first);
    const auto step = state->m_waiting.find(hold.m_step);
    if (hold.m_is_reservation && worker != nullptr &&
        step != state->m_waiting.end()) {
      CapacityForecast present = worker->m_capacity;
      present.m_releases.clear();
      const double idle =
          IdleCoreMillis(present, hold.m_size, hold.m_counted_until, now);
      step->second.m_idle_core_ms += idle;
      state->m_idle_core_ms += idle;
    }
    hold.m_counted_until = now;
  }
}

/// The counter of the reason for which the reservation ends; null: it stays.
std::uint64_t* EndReasonOf(const std::vector<WorkerForecast>& workers,
                           const std::pair<const int, Hold>& entry,
                           TimePoint now,
                           ReservationState* state) {
  const Hold& hold = entry.second;
  const auto step = state->m_waiting.find(hold.m_step);
  if (step == state->m_waiting.end()) {
    return &state->m_counts.m_superseded;
  }
  const WorkerForecast* const worker = FindWorker(workers, entry.first);
  if (worker == nullptr || !MayRun(*worker, step->second) ||
      !Fits(hold.m_size, worker->m_capacity.m_capacity)) {
    return &state->m_counts.m_lost;
  }
  if (now > hold.m_expires_at) {
    return &state->m_counts.m_expired;
  }
  return step->second.m_idle_core_ms > step->second.m_allowed_core_ms
             ? &state->m_counts.m_uneconomic
             : nullptr;
}

void DropHolds(const std::vector<WorkerForecast>& workers,
               TimePoint now,
               ReservationState* state) {
  std::set<StepKey> broken_gangs;
  std::map<StepKey, std::uint32_t> reserved_tasks;
  Holds kept;
  for (const std::pair<const int, Hold>& entry : state->m_holds) {
    if (!entry.second.m_is_reservation) {
      continue;  // Chosen anew by each plan.
    }
    if (std::uint64_t* const count = EndReasonOf(workers, entry, now, state)) {
      ++*count;
      const auto step = state->m_waiting.find(entry.second.m_step);
      if (step != state->m_waiting.end() && step->second.m_gang) {
        broken_gangs.insert(entry.second.m_step);
      }
      continue;
    }
    std::uint32_t& tasks = reserved_tasks[entry.second.m_step];
    if (tasks >= state->m_waiting.at(entry.second.m_step).m_tasks) {
      ++state->m_counts.m_superseded;
      continue;
    }
    tasks += entry.second.m_tasks;
    kept.insert(entry);
  }
  state->m_holds.clear();
  for (std::pair<const int, Hold>& entry : kept) {
    Hold& hold = entry.second;
    if (broken_gangs.count(hold.m_step) > 0) {
      ++state->m_counts.m_superseded;
      continue;
    }
    const CapacityForecast& capacity =
        FindWorker(workers, entry.first)->m_capacity;
    hold.m_spare =
        FreeAt(capacity, std::max(now, hold.m_starts_at)) - hold.m_size;
    state->m_holds.insert(entry);
  }
}

/// Whether the step may get these reservations beside \p reserved others.
bool MayGrant(const std::vector<WorkerForecast>& workers,
              const WaitingStep& step,
              const Holds& holds,
              std::size_t reserved,
              bool is_oldest,
              TimePoint now) {
  if (now - step.m_since < kMinWait) {
    return false;
  }
  const std::size_t limit = std::max<std::size_t>(
      1,
      workers.size() / (is_oldest ? kOldestReservedDivisor : kReservedDivisor));
  const bool is_limited = !is_oldest || now - step.m_since < kMaxLimitedWait;
  if (is_limited && reserved + holds.size() > limit) {
    return false;
  }
  const Economy economy = EconomyOf(workers, step, holds, now);
  return step.m_idle_core_ms + economy.m_idle_core_ms <= economy.m_gain_core_ms;
}

/// The waiting steps without reservations, the longest wait first.
std::vector<std::pair<const StepKey, WaitingStep>*> StepsToPlan(
    ReservationState* state) {
  std::set<StepKey> reserved;
  for (const std::pair<const int, Hold>& entry : state->m_holds) {
    reserved.insert(entry.second.m_step);
  }
  std::vector<std::pair<const StepKey, WaitingStep>*> steps;
  for (std::pair<const StepKey, WaitingStep>& entry : state->m_waiting) {
    if (reserved.count(entry.first) == 0) {
      steps.push_back(&entry);
    }
  }
  std::sort(steps.begin(), steps.end(), [](const auto* a, const auto* b) {
    return std::tie(a->second.m_since, a->first) <
           std::tie(b->second.m_since, b->first);
  });
  steps.resize(std::min(steps.size(), kMaxPlannedSteps));
  return steps;
}

void AddHolds(const std::vector<WorkerForecast>& workers,
              TimePoint now,
              ReservationState* state) {
  std::size_t reserved = state->m_holds.size();
  for (std::pair<const StepKey, WaitingStep>* const entry :
       StepsToPlan(state)) {
    WaitingStep& step = entry->second;
    const std::uint32_t wanted =
        step.m_gang ? step.m_tasks
                    : std::min(step.m_tasks, kMaxReservationsOfStep);
    const std::vector<Slot> slots =
        EarliestSlots(workers, step, wanted, now, state->m_holds);
    if (slots.empty() || (step.m_gang && slots.size() < wanted)) {
      continue;
    }
    Holds holds = MakeHolds(workers, *entry, slots, now);
    if (MayGrant(workers, step, holds, reserved, reserved == 0, now)) {
      step.m_allowed_core_ms =
          EconomyOf(workers, step, holds, now).m_gain_core_ms;
      reserved += holds.size();
      state->m_counts.m_granted += holds.size();
      for (std::pair<const int, Hold>& hold : holds) {
        hold.second.m_is_reservation = true;
      }
    }
    state->m_holds.insert(holds.begin(), holds.end());
  }
}

/// Workers with a reservation before or now. Forecasts have changed, so that
/// other tasks may fit beside it that did not before.
std::vector<int> ReservedWorkers(const Holds& before, const Holds& after) {
  std::set<int> workers;
  for (const Holds* const holds : {&before, &after}) {
    for (const std::pair<const int, Hold>& entry : *holds) {
      if (entry.second.m_is_reservation) {
        workers.insert(entry.first);
      }
    }
  }
  return {workers.begin(), workers.end()};
}

}  // namespace

std::vector<int> PlanReservations(const std::vector<WorkerForecast>& workers,
                                  TimePoint now,
                                  ReservationState* state) {
  for (auto it = state->m_waiting.begin(); it != state->m_waiting.end();) {
    it = now - it->second.m_seen_at > kMaxUnseen ? state->m_waiting.erase(it)
                                                 : std::next(it);
  }
  const Holds before = state->m_holds;
  CountIdleCapacity(workers, now, state);
  DropHolds(workers, now, state);
  AddHolds(workers, now, state);
  return ReservedWorkers(before, state->m_holds);
}

std::vector<int> UseReservations(const StepKey& step,
                                 const std::vector<int>& placed_on,
                                 bool still_waiting,
                                 ReservationState* state) {
  std::vector<int> changed;
  for (auto it = state->m_holds.begin(); it != state->m_holds.end();) {
    const bool is_used = std::find(placed_on.begin(), placed_on.end(),
                                   it->first) != placed_on.end();
    if (!(it->second.m_step == step) || (still_waiting && !is_used)) {
      ++it;
      continue;
    }
    if (it->second.m_is_reservation) {
      changed.push_back(it->first);
      ++(is_used ? state->m_counts.m_used : state->m_counts.m_superseded);
    }
    it = state->m_holds.erase(it);
  }
  const auto waiting = state->m_waiting.find(step);
  if (waiting != state->m_waiting.end()) {
    if (still_waiting) {
      waiting->second.m_tasks -= static_cast<std::uint32_t>(
          std::min<std::size_t>(placed_on.size(), waiting->second.m_tasks));
    } else {
      state->m_waiting.erase(waiting);
    }
  }
  return changed;
}

ReservationSummary Summarize(const Holds& holds) {
  ReservationSummary summary;
  for (const std::pair<const int, Hold>& entry : holds) {
    if (entry.second.m_is_reservation) {
      ++summary.m_count;
      summary.m_reserved_cpu_milli += entry.second.m_size.m_cpu_milli;
      summary.m_oldest = std::min(summary.m_oldest, entry.second.m_granted_at);
    }
  }
  return summary;
}

}  // namespace hyssopspar::jobs
