#include "hyssopspar/config_replay.h"

#include <algorithm>
#include <utility>

#include "hyssopspar/invariant.h"
#include "hyssopspar/logging.h"

namespace hyssopspar {

namespace {

constexpr const char* kLogPart = "config";

}  // namespace

void ConfigReplay::Feed(const LogSlice& slice, TimePoint sent) {
  if (slice.m_start > m_next) {
    m_gap = true;
    m_start = slice.m_start;
    m_next = slice.m_start;
    m_held.clear();
  }
  const Revision before = m_state.m_revision;
  for (const LogRecord& record : slice.m_records) {
    if (record.m_offset >= m_next) {
      FeedRecord(record);
    }
  }
  HYSSOPSPAR_INVARIANT(m_state.m_revision >= before);
  if (m_state.m_revision != before) {
    Log(kLogPart)->info("config in force revision={} out={}",
                        m_state.m_revision, m_state.m_out.size());
  }
  m_ready = !m_gap && m_next >= slice.m_end;
  if (m_ready) {
    m_verified = std::max(m_verified, sent);
  }
}

void ConfigReplay::FeedRecord(const LogRecord& record) {
  m_next = record.m_offset + 1;
  const Result<ConfigRecord> decoded = DecodeConfig(record.m_payload);
  if (!decoded) {
    Log(kLogPart)->error("record malformed offset={}", record.m_offset);
    return;
  }
  if (!m_gap) {
    ApplyConfig(&m_state, record.m_offset, decoded.value());
    return;
  }
  m_held.push_back(record);
  if (const ConfigSnapshot* snapshot =
          std::get_if<ConfigSnapshot>(&decoded.value())) {
    TrySnapshot(*snapshot);
  }
}

void ConfigReplay::TrySnapshot(const ConfigSnapshot& snapshot) {
  // Records between the snapshot and the oldest one held would be missing.
  if (snapshot.m_covers < m_start || snapshot.m_revision < m_state.m_revision) {
    return;
  }
  m_state.m_revision = snapshot.m_revision;
  m_state.m_doc = snapshot.m_doc;
  m_state.m_out = snapshot.m_out;
  m_gap = false;
  const std::vector<LogRecord> held = std::move(m_held);
  m_held.clear();
  for (const LogRecord& record : held) {
    const Result<ConfigRecord> decoded = DecodeConfig(record.m_payload);
    if (decoded && record.m_offset >= snapshot.m_covers) {
      ApplyConfig(&m_state, record.m_offset, decoded.value());
    }
  }
}

}  // namespace hyssopspar
