#include "standin/log_model.h"

#include <algorithm>

namespace hyssopspar::standin {

Offset AppendRecord(LogModel* log,
                    const std::string& stream,
                    const std::string& payload) {
  StreamModel& model = log->m_streams[stream];
  model.m_records.push_back(payload);
  if (model.m_records.size() > log->m_max_stream_records) {
    model.m_records.pop_front();
    ++model.m_start;
  }
  ++log->m_append_count;
  log->m_appended_bytes += payload.size();
  return model.m_start + model.m_records.size() - 1;
}

LogSlice ReadRecords(const LogModel& log,
                     const std::string& stream,
                     Offset from,
                     std::size_t max_records) {
  LogSlice slice;
  const std::map<std::string, StreamModel>::const_iterator it =
      log.m_streams.find(stream);
  if (it == log.m_streams.end()) {
    return slice;
  }
  const StreamModel& model = it->second;
  slice.m_start = model.m_start;
  slice.m_end = model.m_start + model.m_records.size();
  Offset at = std::max(from, model.m_start);
  while (at < slice.m_end && slice.m_records.size() < max_records) {
    slice.m_records.push_back(
        LogRecord{at, model.m_records[at - model.m_start]});
    ++at;
  }
  return slice;
}

}  // namespace hyssopspar::standin
