#include "node/operator_view.h"

#include <utility>

#include "hyssopspar/logging.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogComponent = "config";
/// Time that the store waits for new records before it answers a read. The age
/// of the view stays near it.
constexpr milliseconds kLongPoll{700};

}  // namespace

OperatorView::OperatorView(jobs::PlatformAdapter* platform, DecisionLoop* loop)
    : m_platform(platform), m_loop(loop) {}

void OperatorView::Start(std::function<void()> on_change) {
  m_on_change = std::move(on_change);
  FollowerCallbacks callbacks;
  callbacks.m_snapshot = [this](const std::vector<KeyedRecord>& records) {
    m_excluded_domains.clear();
    ApplyRecords(records);
  };
  callbacks.m_records = [this](const std::vector<KeyedRecord>& records) {
    ApplyRecords(records);
  };
  m_stream = std::make_shared<StreamFollower>(
      &m_platform->Log(), m_loop, m_platform->OperatorRecords(),
      FollowerSettings{kLongPoll, milliseconds(0)}, std::move(callbacks));
  m_stream->Start();
}

void OperatorView::ApplyRecords(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    Result<jobs::OperatorChange> change = m_platform->DecodeOperator(record);
    if (!change) {
      Log(kLogComponent)
          ->warn("operator-record-ignored key={} error={}", record.m_key,
                 ToString(change.error()));
      continue;
    }
    if (auto* const config = std::get_if<jobs::SiteConfig>(&change.value())) {
      if (m_has_config && config->m_revision < m_config.m_revision) {
        Log(kLogComponent)
            ->info("older-config-ignored revision={} have={}",
                   config->m_revision, m_config.m_revision);
        continue;
      }
      m_config = std::move(*config);
      m_has_config = true;
      Log(kLogComponent)
          ->info("config-applied revision={} queues={}", m_config.m_revision,
                 m_config.m_queues.size());
    } else if (const auto* const domain =
                   std::get_if<jobs::DomainChange>(&change.value())) {
      if (domain->m_out_of_service) {
        m_excluded_domains.insert(domain->m_failure_domain);
      } else {
        m_excluded_domains.erase(domain->m_failure_domain);
      }
      Log(kLogComponent)
          ->info("failure-domain name={} out={}", domain->m_failure_domain,
                 domain->m_out_of_service);
    }
  }
  m_on_change();
}

}  // namespace hyssopspar::node
