#include "hyssopspar/config_replay.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/invariant.h"
#include "hyssopspar/logging.h"

namespace hyssopspar {

namespace {

constexpr const char* kLogComponent = "config";

}  // namespace

void ConfigReplay::Feed(const LogSlice& slice, TimePoint sent) {
  if (slice.m_start > m_next) {
    m_needs_snapshot = true;
    m_oldest_offset = slice.m_start;
    m_next = slice.m_start;
    m_buffered.clear();
  }
  const Revision old_revision = m_state.m_revision;
  for (const LogRecord& record : slice.m_records) {
    if (record.m_offset >= m_next) {
      ApplyRecord(record);
    }
  }
  HYSSOPSPAR_INVARIANT(m_state.m_revision >= old_revision);
  if (m_state.m_revision != old_revision) {
    Log(kLogComponent)
        ->info("configuration changed revision={} out={}", m_state.m_revision,
               m_state.m_out_of_service.size());
  }
  m_ready = !m_needs_snapshot && m_next >= slice.m_end;
  if (m_ready) {
    m_current_as_of = std::max(m_current_as_of, sent);
  }
}

void ConfigReplay::ApplyRecord(const LogRecord& record) {
  m_next = record.m_offset + 1;
  const Result<ConfigRecord> decoded = DecodeConfig(record.m_payload);
  if (!decoded) {
    Log(kLogComponent)
        ->error("malformed record skipped offset={}", record.m_offset);
    return;
  }
  if (!m_needs_snapshot) {
    ApplyConfig(&m_state, record.m_offset, decoded.value());
    return;
  }
  m_buffered.push_back(record);
  if (const ConfigSnapshot* snapshot =
          std::get_if<ConfigSnapshot>(&decoded.value())) {
    TryRestore(*snapshot);
  }
}

void ConfigReplay::TryRestore(const ConfigSnapshot& snapshot) {
  // With a gap, the records between the snapshot and the oldest record still in
  // the log would be missing from the state. A snapshot of an older revision
  // would revert the state.
  if (snapshot.m_end_offset < m_oldest_offset ||
      snapshot.m_revision < m_state.m_revision) {
    return;
  }
  m_state.m_revision = snapshot.m_revision;
  m_state.m_doc = snapshot.m_doc;
  m_state.m_out_of_service = snapshot.m_out_of_service;
  m_needs_snapshot = false;
  const std::vector<LogRecord> buffered = std::move(m_buffered);
  m_buffered.clear();
  for (const LogRecord& record : buffered) {
    const Result<ConfigRecord> decoded = DecodeConfig(record.m_payload);
    if (decoded && record.m_offset >= snapshot.m_end_offset) {
      ApplyConfig(&m_state, record.m_offset, decoded.value());
    }
  }
}

}  // namespace hyssopspar
