/// \file
/// Node-side host of one cell: follows the cell's owner stream, claims the cell
/// when it is free, and runs its scheduling while this node owns it.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/jobs/admission/admission.h"
#include "hyssopspar/jobs/admission/refusal_book.h"
#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/cell_loader.h"
#include "hyssopspar/jobs/ownership.h"
#include "hyssopspar/jobs/platform_adapter.h"
#include "hyssopspar/jobs/records.h"
#include "hyssopspar/jobs/store_contact.h"
#include "hyssopspar/metrics.h"
#include "hyssopspar/store/stream_follower.h"
#include "node/handover_port.h"
#include "node/node_settings.h"
#include "node/operator_view.h"
#include "node/owner_work_report.h"

namespace hyssopspar::node {

/// Takes part in the ownership protocol of one cell. As owner it connects
/// jobs::Cell, which does no input or output, to the store, the workers and the
/// adviser. All calls on the loop's thread.
class CellHost {
 public:
  CellHost(const NodeSettings& settings,
           int cell,
           jobs::PlatformAdapter* platform,
           DecisionLoop* loop,
           const OperatorView* operator_view,
           HandoverPort* handover,
           Metrics* metrics);
  ~CellHost();

  /// Starts to follow the owner stream.
  void Start();
  /// Releases the cell, so that another node can claim it at once, and makes no
  /// further claim. Runs \p done once the store has answered.
  void Release(std::function<void()> done);

  /// Handles another node's offer to take the cell over. Releases the cell if
  /// this node owns it and has much less CPU capacity than \p cpu_capacity
  /// processors.
  void OnTakeoverOffer(double cpu_capacity);
  /// Sets the function that sends the owner this node's offer to take the cell
  /// over. It runs when owner records arrive that show an owner with much less
  /// CPU capacity than this node.
  void SetTakeoverOfferHandler(std::function<void()> handler);

  /// Yields whether this node reaches the store, by a call to it, and sees the
  /// cell owned by another node in \p epoch. It can then store the release of
  /// that epoch.
  void CheckStoreForRelease(std::uint64_t epoch,
                            std::function<void(bool)> done);
  /// Stores the release of an owner that has lost the store, unless the cell
  /// has changed hands since. Yields kConflict then.
  void StoreReleaseForPeer(const jobs::OwnerRecord& release,
                           std::function<void(Result<Offset>)> done);

  /// Answers whether a node may refuse a job. Yields a refusal only while this
  /// node owns the cell, and for a job that is not stored at a time after this
  /// call.
  void AnswerAdmission(const jobs::AdmissionQuery& query,
                       std::function<void(jobs::AdmissionAnswer)> done);

  /// Applies the current operator view to the cell.
  void OnOperatorChange();

  /// Gives the cell up, whose state may be half changed by an event that ended
  /// with an exception. Another node, or later this one, loads it anew.
  void OnUnexpectedError();

  /// Last known owner of the cell.
  const jobs::OwnerView& Owner() const { return m_owner; }
  /// Records that the owner of \p epoch refuses connections. The cell may then
  /// be claimed before its lease expires.
  void MarkOwnerUnreachable(std::uint64_t epoch);

  /// The cell, or null unless this node owns it and has loaded it.
  const jobs::Cell* OwnedCell() const;
  /// True when the view of the job stream is recent enough to conclude that a
  /// job that is not in OwnedCell() does not exist.
  bool IsJobViewFresh() const;

 private:
  enum class Phase {
    kNotOwner,  ///< May claim the cell when the owner stream shows it free.
    kClaiming,  ///< A claim has been sent and its outcome is not known.
    kFencing,   ///< Claimed; makes the store refuse earlier owners' writes.
    kLoading,   ///< Fenced; loads stored progress and jobs.
    kOwning     ///< Makes the decisions of the cell.
  };

  void OnOwnerRecords(const std::vector<KeyedRecord>& records);
  /// Claims, fences, renews, releases or steps down, as the owner record and
  /// the time require.
  void Reevaluate();
  void Claim();
  /// Replaces the owner record, unless another was written since it was read.
  void AppendOwner(const jobs::OwnerRecord& record,
                   std::function<void(Result<Offset>)> done);
  /// Runs \p step after \p delay, unless ownership has changed by then.
  void RetryLater(std::function<void()> step, milliseconds delay);
  void OnClaimAnswer(const Result<Offset>& result);
  /// Makes the store refuse writes of earlier owners that are still in flight.
  void Fence();
  /// Creates the cell and follows the worker and job streams.
  void CreateCell();
  /// Loads stored progress from the first key after \p after_key.
  void LoadProgress(const std::string& after_key);
  void OnProgressPage(const Result<KeyedPage>& page);
  /// Starts to decide for the loaded cell.
  void BecomeOwner();
  void RenewOwnership();
  struct AdmissionRequest {
    jobs::AdmissionQuery m_query;
    std::function<void(jobs::AdmissionAnswer)> m_done;
  };
  /// Measures the cell's load and adds it to \p renewal, if that is enabled.
  void PublishLoad(jobs::OwnerRecord* renewal, TimePoint now);
  /// Reads which jobs were stored since the last read of the job stream, for
  /// all queries that wait.
  void ReadForAdmission();
  void OnAdmissionRead(const std::vector<AdmissionRequest>& queries,
                       const Result<KeyedSlice>& slice);
  /// Longest time for which a lease of this owner lasts after its last order.
  milliseconds OwnLeaseLimit() const;
  /// Steps down and stores that the cell is free.
  void ReleaseOwnership(const char* reason);
  /// Records the outcome of a call to the store that was sent at \p sent.
  /// When the store is lost to this node alone, hands the cell over through a
  /// peer.
  void OnStoreCall(bool succeeded, TimePoint sent);
  /// Stores through \p peer that the cell is free, and stops deciding once that
  /// is stored. Until then this node extends the workers' leases; without the
  /// store it starts nothing.
  void HandOverThrough(const std::string& peer);
  /// True when this node sees the cell owned by another node in \p epoch.
  bool SeesOtherOwner(std::uint64_t epoch) const;
  /// Stops deciding for the cell, without a record in the store.
  void StepDown(const char* reason);
  /// Sets the timer for the next Reevaluate().
  void ScheduleReevaluation();
  /// True when the cell is free and the additional wait in favor of nodes with
  /// more CPU capacity is over.
  bool MayClaim(TimePoint now);

  void ApplyJobRecords(const std::vector<KeyedRecord>& records);
  void ApplyWorkerRecords(const std::vector<KeyedRecord>& records);
  /// Applies \p records, the complete list of workers, and removes all workers
  /// that are not in it.
  void ReplaceWorkers(const std::vector<KeyedRecord>& records);
  /// Lets the cell decide and executes the resulting actions.
  void TickAndDispatch();
  /// Adds the jobs that have ended to the metrics.
  void RecordCompletions();
  /// Adds the owner's work and the tasks' stage times to the metrics and, once
  /// a second, to the log.
  void ReportWork(TimePoint now);
  /// True, and counted, if an order may not be sent any more.
  bool IsExpired(TimePoint send_before);
  void Execute(jobs::StartAction action);
  void Execute(jobs::StopAction action);
  void Execute(const jobs::ThrottleAction& action);
  void Execute(jobs::HeartbeatAction action);
  void Execute(jobs::AdviseAction action);
  void Execute(const jobs::StoreAction& action);
  void Execute(const jobs::TombstoneJobsAction& action);
  void Execute(const jobs::DropJobsAction& action);
  /// Appends \p records, which replace or remove records of ended jobs, to the
  /// job stream.
  void CompactJobStream(const std::vector<KeyedRecord>& records);
  /// Repeats the append until it has succeeded: a job whose tombstone is
  /// missing when its progress is removed would run again under the next owner.
  void AppendCompaction(const std::vector<KeyedRecord>& records);
  Partition PartitionOf(const char* stream) const;

  /// Wraps \p handler in a callback that runs it on the loop, unless ownership
  /// has changed since the call to this function.
  template <class T, class Handler>
  std::function<void(T)> BindToGeneration(Handler handler);

  NodeSettings m_settings;
  int m_cell_number;
  jobs::PlatformAdapter* m_platform;
  DecisionLoop* m_loop;
  const OperatorView* m_operator_view;
  HandoverPort* m_handover;
  Metrics* m_metrics;

  Phase m_phase = Phase::kNotOwner;
  std::uint64_t m_generation = 0;  ///< Changes with each claim and step down.
  jobs::OwnerView m_owner;
  jobs::OwnerRecord m_claim;  ///< Last claim of this node.
  /// Time since which every call of MayClaim() has found the cell free.
  std::optional<TimePoint> m_free_since;
  /// Known end of the owner stream; an append at another end is refused.
  Offset m_owner_stream_end = 0;
  TimePoint m_claim_sent_at;
  /// Time at which this node saw the last renewal of the owner that the claim
  /// replaces.
  TimePoint m_previous_renewal_at;
  TimePoint m_inherited_lease_deadline;  ///< As of that claim.
  TimePoint m_renew_at;                  ///< When the next renewal is due.
  bool m_renewing = false;
  TimePoint m_owning_since;
  TimePoint m_no_claim_before;  ///< After an unexpected error.
  jobs::StoreContact m_store_contact;
  /// CPU capacity, in processors, of the largest node that offered to take the
  /// cell over; 0 without an offer.
  double m_offered_cpu_capacity = 0;
  bool m_releasing = false;  ///< Release() was called.
  std::function<void()> m_on_released;
  std::function<void()> m_takeover_offer_handler;
  TimePoint m_reevaluate_at = TimePoint::max();
  std::shared_ptr<StreamFollower> m_owner_stream;
  std::shared_ptr<StreamFollower> m_job_stream;
  std::shared_ptr<StreamFollower> m_worker_stream;
  std::unique_ptr<jobs::Cell> m_cell;
  /// Excluded failure domains that the cell was last given.
  std::set<std::string> m_applied_excluded_domains;
  jobs::CellLoader m_loader;
  OwnerWorkReport m_work_report;
  TimePoint m_next_tenant_metrics;
  jobs::LoadSummary m_load;  ///< Without promised work.
  TimePoint m_load_at;       ///< When it was measured.
  jobs::RefusalBook m_refusal_book;
  std::vector<AdmissionRequest> m_admission_queries;  ///< For the next read.
  bool m_reading_for_admission = false;
};

template <class T, class Handler>
std::function<void(T)> CellHost::BindToGeneration(Handler handler) {
  return [this, loop = m_loop, generation = m_generation,
          handler = std::move(handler)](T answer) {
    loop->Post([this, generation, handler, answer = std::move(answer),
                received = Clock::now()] {
      m_work_report.AddQueueTime(Clock::now() - received);
      if (generation == m_generation) {
        handler(answer);
      }
    });
  };
}

}  // namespace hyssopspar::node
