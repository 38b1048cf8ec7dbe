/// \file
/// The operators' records as this node has read them.

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

/// All calls on the loop's thread.
class OperatorView {
 public:
  OperatorView(jobs::PlatformAdapter* platform, DecisionLoop* loop);

  /// \p changed runs after each change.
  void Start(std::function<void()> changed);

  bool HasConfig() const { return m_has_config; }
  const jobs::SiteConfig& Config() const { return m_config; }
  const std::set<std::string>& DomainsOut() const { return m_domains_out; }
  TimePoint Verified() const { return m_stream->Verified(); }

 private:
  void Enter(const std::vector<KeyedRecord>& records);

  jobs::PlatformAdapter* m_platform;
  std::shared_ptr<StreamFollower> m_stream;
  DecisionLoop* m_loop;
  std::function<void()> m_changed;
  bool m_has_config = false;
  jobs::SiteConfig m_config;
  std::set<std::string> m_domains_out;
};

}  // namespace hyssopspar::node
