/// \file
/// Claims a cell, and acts for it while it is owned here.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/jobs/cell.h"
#include "hyssopspar/jobs/cell_loader.h"
#include "hyssopspar/jobs/ownership.h"
#include "hyssopspar/jobs/platform_adapter.h"
#include "hyssopspar/jobs/records.h"
#include "hyssopspar/metrics.h"
#include "hyssopspar/store/stream_follower.h"
#include "node/node_settings.h"
#include "node/operator_view.h"

namespace hyssopspar::node {

/// All calls on the loop's thread.
class CellHost {
 public:
  CellHost(const NodeSettings& settings,
           int cell,
           jobs::PlatformAdapter* platform,
           DecisionLoop* loop,
           const OperatorView* operators,
           Metrics* metrics);
  ~CellHost();

  void Start();
  /// Gives the cell up, so that another node takes it at once. Nothing is
  /// claimed afterwards.
  void Release(std::function<void()> done);

  /// Gives the cell to a node of \p strength, if that is much stronger.
  void OnOffer(double strength);
  /// Called when the owner has been heard of and should be asked for the cell.
  void SetOfferHandler(std::function<void()> handler);

  /// Passes a change of the operators' view on to the cell.
  void OnOperators();

  /// Owner as last read, if there is a live one.
  const jobs::OwnerView& Owner() const { return m_owner; }
  /// Notes that the owner of \p epoch refuses connections.
  void SuspectOwner(std::uint64_t epoch);

  /// The cell, when it is owned here and has been loaded.
  const jobs::Cell* OwnedCell() const;
  /// True when every job accepted up to a second ago is in OwnedCell.
  bool KnowsRecentJobs() const;

 private:
  enum class Phase { kFollowing, kClaiming, kFencing, kLoading, kOwning };

  void OnOwnerRecords(const std::vector<KeyedRecord>& records);
  void Review();
  void Claim();
  void AppendOwner(const jobs::OwnerRecord& record,
                   std::function<void(Result<Offset>)> done);
  void RetryLater(std::function<void()> step);
  void OnClaimed(const Result<Offset>& result);
  void Fence();
  void LoadJobs();
  void LoadProgress(const std::string& after_key);
  void OnProgressPage(const Result<KeyedPage>& page);
  void Own();
  void Renew();
  void GiveUp(const char* reason);
  void StepDown(const char* reason);
  void ArmReview();
  /// True when the cell is free and this node need not leave it to others.
  bool MayClaim(TimePoint now);

  void EnterJobs(const std::vector<KeyedRecord>& records);
  void EnterWorkers(const std::vector<KeyedRecord>& records);
  void ReplaceWorkers(const std::vector<KeyedRecord>& records);
  void Pump();
  void CountEnds();
  void Perform(jobs::StartAction action);
  void Perform(jobs::StopAction action);
  void Perform(const jobs::PaceAction& action);
  void Perform(jobs::HoldAction action);
  void Perform(jobs::AdviseAction action);
  void Perform(const jobs::StoreAction& action);
  void Perform(const jobs::RetireAction& action);
  void Perform(const jobs::ForgetAction& action);
  void Tidy(const std::vector<KeyedRecord>& drops);
  Partition PartitionOf(const char* stream) const;

  /// Runs \p handler on the loop unless ownership has changed since.
  template <class T, class Handler>
  std::function<void(T)> OnLoop(Handler handler);

  NodeSettings m_settings;
  int m_number;
  jobs::PlatformAdapter* m_platform;
  DecisionLoop* m_loop;
  const OperatorView* m_operators;
  Metrics* m_metrics;

  Phase m_phase = Phase::kFollowing;
  std::uint64_t m_generation = 0;  ///< Changes with each claim and step down.
  jobs::OwnerView m_owner;
  jobs::OwnerRecord m_claim;
  /// When the cell was first seen to be free since the owner's last sign.
  std::optional<TimePoint> m_free_since;
  Offset m_owner_end = 0;
  TimePoint m_claim_sent;
  TimePoint m_last_renewal;  ///< Of the owner that the claim replaces.
  TimePoint m_renew_at;
  bool m_renewing = false;
  TimePoint m_owning_since;
  double m_offered = 0;  ///< Processors of the node that asked for the cell.
  bool m_releasing = false;
  std::function<void()> m_on_released;
  std::function<void()> m_offer_handler;
  TimePoint m_review_at = TimePoint::max();
  std::shared_ptr<StreamFollower> m_owner_stream;
  std::shared_ptr<StreamFollower> m_job_stream;
  std::shared_ptr<StreamFollower> m_worker_stream;
  std::unique_ptr<jobs::Cell> m_cell;
  std::set<std::string> m_domains_told;
  jobs::CellLoader m_loader;
};

template <class T, class Handler>
std::function<void(T)> CellHost::OnLoop(Handler handler) {
  return [this, loop = m_loop, generation = m_generation,
          handler = std::move(handler)](T answer) {
    loop->Post([this, generation, handler, answer = std::move(answer)] {
      if (generation == m_generation) {
        handler(answer);
      }
    });
  };
}

}  // namespace hyssopspar::node
