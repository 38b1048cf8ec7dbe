/// \file
/// View of the operators' records: the configuration in force and the failure
/// domains taken out of service.

#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "hyssopspar/decision_loop.h"
#include "hyssopspar/jobs/platform_adapter.h"
#include "hyssopspar/store/stream_follower.h"

namespace hyssopspar::node {

/// Follows the stream of the operators' records. All calls on the loop's
/// thread.
class OperatorView {
 public:
  OperatorView(jobs::PlatformAdapter* platform, DecisionLoop* loop);

  /// Starts to follow the stream. \p on_change runs after each batch of
  /// records.
  void Start(std::function<void()> on_change);

  /// False until a configuration has been read.
  bool HasConfig() const { return m_has_config; }
  const jobs::SiteConfig& Config() const { return m_config; }
  /// Failure domains that operators have taken out of service; no task is
  /// started there.
  const std::set<std::string>& ExcludedDomains() const {
    return m_excluded_domains;
  }
  /// Time as of which the view is current: everything appended before is in it.
  TimePoint CurrentAsOf() const { return m_stream->CurrentAsOf(); }

 private:
  void ApplyRecords(const std::vector<KeyedRecord>& records);

  jobs::PlatformAdapter* m_platform;
  std::shared_ptr<StreamFollower> m_stream;
  DecisionLoop* m_loop;
  std::function<void()> m_on_change;
  bool m_has_config = false;
  jobs::SiteConfig m_config;
  std::set<std::string> m_excluded_domains;
};

}  // namespace hyssopspar::node
