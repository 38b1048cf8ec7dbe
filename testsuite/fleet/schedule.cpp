#include "fleet/schedule.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace fleet {

namespace {

using Random = std::mt19937_64;

constexpr std::array<const char*, 14> kNames = {
    "crash-worker",  "replace-worker", "cut-worker",  "slow-worker",
    "update-worker", "crash-unseen",   "freeze-node", "kill-node",
    "end-node",      "silence-store",  "reset-store", "refuse-writes",
    "set-attempts",  "silence-beats"};
constexpr int kDisruptedStarts = 8;
constexpr int kLateCrashes = 6;
/// Crashes soon after its starts that one task meets by chance. A task that
/// meets more can't be told from one that crashes its workers.
constexpr int kMaxCrashesAtStarts = 2;
/// Freeze after which a run that began with it has lasted for 3 s at its crash.
constexpr milliseconds kProvingFreeze{4800};
/// Answers of a store that refuses writes for a while; its documents name the
/// first kMildRefusals.
constexpr std::array<int, 5> kRefusals = {503, 429, 413, 403, 400};
constexpr int kMildRefusals = 2;

int Pick(Random* random, int lowest, int highest) {
  return std::uniform_int_distribution<int>(lowest, highest)(*random);
}

milliseconds PickTime(Random* random,
                      milliseconds shortest,
                      milliseconds longest) {
  return milliseconds(Pick(random, static_cast<int>(shortest.count()),
                           static_cast<int>(longest.count())));
}

std::string MakeId(Random* random) {
  std::string id;
  for (int i = 0; i < 16; ++i) {
    id += "0123456789abcdef"[Pick(random, 0, 15)];
  }
  return id;
}

int PickRefusal(const FleetOptions& options, Random* random) {
  const int count = options.m_scenario == "refusing"
                        ? static_cast<int>(kRefusals.size())
                        : kMildRefusals;
  return kRefusals[static_cast<std::size_t>(Pick(random, 0, count - 1))];
}

JobPlan MakeJob(Random* random, JobKind kind, milliseconds due) {
  JobPlan job;
  job.m_id = MakeId(random);
  job.m_kind = kind;
  job.m_due = due;
  job.m_tasks = Pick(random, 1, 4);
  job.m_work = PickTime(random, milliseconds(300), milliseconds(3000));
  if (IsDeadly(kind)) {
    job.m_tasks = 1;
    job.m_work = PickTime(random, milliseconds(20), milliseconds(300));
  }
  return job;
}

/// A crash, cut or update at each of the next starts.
void AddDisruptionsAtStarts(DisruptionKind kind,
                            milliseconds duration,
                            Schedule* schedule) {
  for (int i = 0; i < kDisruptedStarts; ++i) {
    Disruption disruption;
    disruption.m_duration = duration;
    disruption.m_kind = kind;
    disruption.m_at_start = true;
    disruption.m_series = 1;
    schedule->m_disruptions.push_back(disruption);
  }
}

/// Crashes of the worker of a task that has run for long, and of those that
/// start it after that.
void AddLateCrashes(Schedule* schedule) {
  Disruption crash;
  crash.m_at = milliseconds(8000);
  crash.m_duration = milliseconds(500);
  crash.m_kind = DisruptionKind::kCrashWorker;
  crash.m_target = kBusyWorker;
  schedule->m_disruptions.push_back(crash);
  crash.m_at_start = true;
  crash.m_series = 1;
  crash.m_value = 300;
  for (int i = 1; i < kLateCrashes; ++i) {
    schedule->m_disruptions.push_back(crash);
  }
}

bool IsCrash(DisruptionKind kind) {
  return kind == DisruptionKind::kCrashWorker ||
         kind == DisruptionKind::kReplaceWorker;
}

/// The store is silent; a worker crashes meanwhile, so that there is something
/// to write, and is refused for a while after the store has returned.
void AddRefusals(std::uint64_t seed, Schedule* schedule) {
  for (std::size_t i = 0; i < kRefusals.size(); ++i) {
    Disruption disruption;
    disruption.m_at = milliseconds(5000 + 7000 * static_cast<int>(i));
    disruption.m_kind = DisruptionKind::kSilenceStore;
    disruption.m_target = kEveryNode;
    disruption.m_duration = milliseconds(2000);
    schedule->m_disruptions.push_back(disruption);
    disruption.m_at += milliseconds(2000);
    disruption.m_kind = DisruptionKind::kRefuseWrites;
    disruption.m_value = kRefusals[(i + seed) % kRefusals.size()];
    disruption.m_duration = milliseconds(2500);
    schedule->m_disruptions.push_back(disruption);
    disruption.m_at -= milliseconds(500);
    disruption.m_kind = DisruptionKind::kCrashWorker;
    disruption.m_target = kBusyWorker;
    disruption.m_duration = milliseconds(500);
    schedule->m_disruptions.push_back(disruption);
  }
}

/// Series of up to five disruptions of one kind, which overlap with others.
void AddSeries(const FleetOptions& options, Random* random, Schedule* all) {
  const int end = static_cast<int>(milliseconds(options.m_duration).count());
  Disruption next;
  next.m_at = milliseconds(Pick(random, 0, end));
  next.m_kind = static_cast<DisruptionKind>(Pick(random, 0, 13));
  const bool hits_worker = next.m_kind <= DisruptionKind::kCrashUnseen;
  const int repeats = Pick(random, 1, 5);
  const milliseconds gap =
      PickTime(random, milliseconds(200), milliseconds(3000));
  const bool on_one = Pick(random, 0, 2) == 0;
  next.m_at_start = hits_worker && Pick(random, 0, 1) == 0;
  next.m_series = Pick(random, 1, 1000000);
  for (int i = 0; i < repeats; ++i) {
    if (i >= kMaxCrashesAtStarts && next.m_at_start && IsCrash(next.m_kind)) {
      break;
    }
    if (i == 0 || !on_one) {
      next.m_target = hits_worker ? Pick(random, 0, options.m_workers - 1)
                                  : Pick(random, -1, options.m_nodes - 1);
    }
    next.m_duration = PickTime(random, milliseconds(300), milliseconds(6000));
    if (next.m_at_start && next.m_kind == DisruptionKind::kCrashUnseen) {
      next.m_duration = std::max(next.m_duration, kProvingFreeze);
    }
    next.m_value = next.m_kind == DisruptionKind::kChangeAttempts
                       ? Pick(random, 2, 5)
                       : Pick(random, 200, 2500);
    if (next.m_kind == DisruptionKind::kRefuseWrites) {
      next.m_value = PickRefusal(options, random);
      next.m_duration = std::min(next.m_duration, milliseconds(2000));
    }
    all->m_disruptions.push_back(next);
    next.m_at += gap;
  }
}

/// Cuts, updates or unseen crashes at each start of one task; none of them
/// shows that the task is at fault.
void AddFollowingSeries(const FleetOptions& options,
                        Random* random,
                        Schedule* all) {
  constexpr std::array<DisruptionKind, 3> kKinds = {
      DisruptionKind::kCutWorker, DisruptionKind::kUpdateWorker,
      DisruptionKind::kCrashUnseen};
  const int end = static_cast<int>(milliseconds(options.m_duration).count());
  Disruption next;
  next.m_at = milliseconds(Pick(random, 0, end / 4));
  next.m_kind = kKinds[static_cast<std::size_t>(Pick(random, 0, 2))];
  next.m_at_start = true;
  next.m_series = Pick(random, 1, 1000000);
  next.m_duration =
      kProvingFreeze + PickTime(random, milliseconds(0), milliseconds(1500));
  if (next.m_kind == DisruptionKind::kUpdateWorker) {
    next.m_duration = PickTime(random, milliseconds(300), milliseconds(900));
  }
  for (int i = 0; i < kDisruptedStarts; ++i) {
    all->m_disruptions.push_back(next);
  }
}

/// As in the incident: nodes lose the store one after the other, writes are
/// refused for a while after its return, and the reports of the workers expire.
void AddStoreLoss(const FleetOptions& options, Random* random, Schedule* all) {
  const int end = static_cast<int>(milliseconds(options.m_duration).count());
  Disruption loss;
  loss.m_at = milliseconds(Pick(random, 0, end));
  const milliseconds until =
      loss.m_at + PickTime(random, milliseconds(2000), milliseconds(9000));
  for (int node = 0; node < options.m_nodes; ++node) {
    loss.m_target = node;
    loss.m_kind = DisruptionKind::kSilenceStore;
    loss.m_duration = until - loss.m_at;
    all->m_disruptions.push_back(loss);
    Disruption after = loss;
    after.m_at = until;
    after.m_duration = milliseconds(Pick(random, 100, 1500));
    after.m_kind = Pick(random, 0, 1) == 0 ? DisruptionKind::kResetStore
                                           : DisruptionKind::kRefuseWrites;
    after.m_value = PickRefusal(options, random);
    all->m_disruptions.push_back(after);
    loss.m_at = std::min(until - milliseconds(500),
                         loss.m_at + milliseconds(Pick(random, 0, 1000)));
  }
  loss.m_kind = DisruptionKind::kSilenceEveryBeat;
  loss.m_target = kEveryNode;
  loss.m_duration = until - loss.m_at;
  all->m_disruptions.push_back(loss);
}

void AddMixedDisruptions(const FleetOptions& options,
                         Random* random,
                         Schedule* schedule) {
  const auto seconds = options.m_duration.count();
  for (std::int64_t i = 0; i < seconds / 2; ++i) {
    AddSeries(options, random, schedule);
  }
  for (std::int64_t i = 0; i < 1 + seconds / 25; ++i) {
    AddStoreLoss(options, random, schedule);
  }
}

/// Series that follow tasks, beside a few others.
void AddFollowingDisruptions(const FleetOptions& options,
                             Random* random,
                             Schedule* schedule) {
  const auto seconds = options.m_duration.count();
  for (std::int64_t i = 0; i < seconds / 10; ++i) {
    AddFollowingSeries(options, random, schedule);
    AddSeries(options, random, schedule);
  }
}

void AddJobs(const FleetOptions& options,
             Random* random,
             bool deadly,
             Schedule* schedule) {
  const int end = static_cast<int>(milliseconds(options.m_duration).count());
  std::vector<JobPlan>* const jobs = &schedule->m_jobs;
  for (int i = 0; i < options.m_workers; ++i) {
    jobs->push_back(MakeJob(random, JobKind::kLasting,
                            milliseconds(Pick(random, 0, end / 4))));
  }
  for (std::int64_t i = 0; i < 2 * options.m_duration.count(); ++i) {
    const JobKind kind =
        Pick(random, 0, 3) == 0 ? JobKind::kFailing : JobKind::kShort;
    jobs->push_back(MakeJob(random, kind, milliseconds(Pick(random, 0, end))));
  }
  for (int i = 0; deadly && i < 2; ++i) {
    jobs->push_back(
        MakeJob(random, JobKind::kDeadly, milliseconds(Pick(random, 0, end))));
    jobs->push_back(MakeJob(random, JobKind::kDeadlyLasting,
                            milliseconds(Pick(random, 0, end))));
  }
}

/// Holds all answers back, so that nodes can be frozen before they read them.
void AddSlowAnswers(const FleetOptions& options, Schedule* schedule) {
  for (int worker = 0; worker < options.m_workers; ++worker) {
    Disruption slow;
    slow.m_kind = DisruptionKind::kSlowWorker;
    slow.m_duration = options.m_duration;
    slow.m_target = worker;
    slow.m_value = 60;
    schedule->m_disruptions.push_back(slow);
  }
}

void AddOneLastingJob(Random* random, Schedule* schedule) {
  schedule->m_jobs.push_back(
      MakeJob(random, JobKind::kLasting, milliseconds(0)));
  schedule->m_jobs.back().m_tasks = 1;
}

/// Adds a scenario in which the same happens to one job again and again.
/// Returns false if the scenario isn't one of these.
bool AddOneJobScenario(const FleetOptions& options,
                       Random* random,
                       Schedule* schedule) {
  if (options.m_scenario == "crash-unseen") {
    // Guards against: a job is given up because a frozen owner sees starts and
    // crashes, which are seconds apart, at once (issue 34).
    AddOneLastingJob(random, schedule);
    AddSlowAnswers(options, schedule);
    AddDisruptionsAtStarts(DisruptionKind::kCrashUnseen, milliseconds(1500),
                           schedule);
  } else if (options.m_scenario == "crash-unseen-late") {
    // Guards against: as crash-unseen, with runs that had lasted long enough to
    // show that their task is not at fault.
    AddOneLastingJob(random, schedule);
    AddSlowAnswers(options, schedule);
    AddDisruptionsAtStarts(DisruptionKind::kCrashUnseen, kProvingFreeze,
                           schedule);
  } else if (options.m_scenario == "update-start") {
    // Guards against: a job is given up because its workers are restarted for
    // planned updates soon after its tasks have started (issue 34).
    AddOneLastingJob(random, schedule);
    AddDisruptionsAtStarts(DisruptionKind::kUpdateWorker, milliseconds(600),
                           schedule);
  } else if (options.m_scenario == "cut-start") {
    // Guards against: a job is given up because its workers are cut off and
    // their entries expire (issue 34).
    AddOneLastingJob(random, schedule);
    AddDisruptionsAtStarts(DisruptionKind::kCutWorker, milliseconds(9000),
                           schedule);
  } else if (options.m_scenario == "late-crashes") {
    // Guards against: a job is given up because its workers crash a few times
    // in a row, though its task has run for long (issue 34).
    AddOneLastingJob(random, schedule);
    AddLateCrashes(schedule);
  } else if (options.m_scenario == "refused-writes") {
    // Guards against: a job is given up because the store refuses its records
    // for a while after an outage (issue 34).
    AddOneLastingJob(random, schedule);
    AddRefusals(options.m_seed, schedule);
  } else {
    return false;
  }
  return true;
}

}  // namespace

std::string NameOf(DisruptionKind kind) {
  return kNames[static_cast<std::size_t>(kind)];
}

bool ApplyScenario(FleetOptions* options) {
  if (options->m_scenario == "large") {
    options->m_nodes = 8;
    options->m_workers = 60;
  }
  const std::array<std::string, 11> names = {
      "mixed",        "deadly",         "large",
      "crash-unseen", "update-start",   "cut-start",
      "late-crashes", "refused-writes", "crash-unseen-late",
      "refusing",     "following"};
  return std::find(names.begin(), names.end(), options->m_scenario) !=
         names.end();
}

Schedule MakeSchedule(const FleetOptions& options) {
  Random random(options.m_seed);
  Schedule schedule;
  if (!AddOneJobScenario(options, &random, &schedule)) {
    AddJobs(options, &random, options.m_scenario == "deadly", &schedule);
    if (options.m_scenario == "following") {
      AddFollowingDisruptions(options, &random, &schedule);
    } else {
      AddMixedDisruptions(options, &random, &schedule);
    }
  }
  std::stable_sort(
      schedule.m_disruptions.begin(), schedule.m_disruptions.end(),
      [](const Disruption& a, const Disruption& b) { return a.m_at < b.m_at; });
  std::stable_sort(
      schedule.m_jobs.begin(), schedule.m_jobs.end(),
      [](const JobPlan& a, const JobPlan& b) { return a.m_due < b.m_due; });
  return schedule;
}

}  // namespace fleet
