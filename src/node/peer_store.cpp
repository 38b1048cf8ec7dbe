#include "node/peer_store.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace hyssopspar::node {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kIdleConnections = 1;

Json BytesOf(const std::string& text) {
  return Json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string TextOf(const Json& json) {
  const Json::binary_t& bytes = json.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace

std::string EncodeRecords(const std::vector<KeyedRecord>& records) {
  Json json = Json::array();
  for (const KeyedRecord& record : records) {
    json.push_back(
        {BytesOf(record.m_key), BytesOf(record.m_value.value_or(""))});
  }
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

Result<std::vector<KeyedRecord>> DecodeRecords(const std::string& bytes) {
  const Json json = Json::from_cbor(bytes, true, false);
  if (!json.is_array()) {
    return Fail(ErrorCode::kMalformed, "not a list of records");
  }
  std::vector<KeyedRecord> records;
  for (const Json& item : json) {
    const bool whole = item.is_array() && item.size() == 2 &&
                       item[0].is_binary() && item[1].is_binary();
    if (!whole) {
      return Fail(ErrorCode::kMalformed, "not a record");
    }
    records.push_back({TextOf(item[0]), TextOf(item[1])});
  }
  return records;
}

PeerStore::PeerStore(std::vector<std::string> peers, DecisionLoop* loop)
    : m_peers(std::move(peers)), m_loop(loop), m_pool(1, kIdleConnections) {}

void PeerStore::Append(const std::string& first,
                       const std::vector<KeyedRecord>& records,
                       TimePoint deadline,
                       std::function<void(Result<Offset>)> done) {
  if (first.empty() && m_peers.empty()) {
    done(Fail(ErrorCode::kNotSent, "no other node is known"));
    return;
  }
  const std::string peer =
      first.empty() ? m_peers[m_next++ % m_peers.size()] : first;
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = kRecordsPath;
  request.m_body = EncodeRecords(records);
  m_pool.Send(
      peer, std::move(request), deadline,
      [loop = m_loop, done = std::move(done)](Result<HttpResponse> answer) {
        loop->Post([done, answer = std::move(answer)] {
          if (!answer) {
            done(answer.error());
          } else if (answer.value().m_status == 200) {
            done(Offset{0});
          } else if (answer.value().m_status == 503) {
            done(Fail(ErrorCode::kUnavailable, answer.value().m_body));
          } else {
            done(Fail(ErrorCode::kTimeout, answer.value().m_body));
          }
        });
      });
}

void PeerStore::Stop() {
  m_pool.Stop();
}

}  // namespace hyssopspar::node
