/// \file
/// Stand-in for the platform's metadata store, as PROTOCOL.md describes it: a
/// log with keyed topics, conditions on appends, and limits of sizes.

#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "http.h"

namespace review {

using Json = nlohmann::json;

inline std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) {
    text += static_cast<char>((value >> (8 * i)) & 255U);
  }
  return text;
}

inline std::uint64_t FromBigEndian(const std::string& text,
                                   std::size_t at,
                                   std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value = value << 8U | static_cast<unsigned char>(text[at + i]);
  }
  return value;
}

inline std::string Base64(const std::string& bytes) {
  static const std::string kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text +=
          i + k > bytes.size() ? '=' : kDigits[(group >> (18 - 6 * k)) & 63U];
    }
  }
  return text;
}

class Store {
 public:
  /// Decides what happens to a call; called before it is carried out and, with
  /// \p done set, before its answer is sent. A status other than 0 is the
  /// answer; a delay holds it back.
  struct Fault {
    int m_status = 0;
    Delivery m_delivery = Delivery::kAnswer;
    Millis m_delay{0};
    Millis m_late{0};  ///< Carried out after this time, without an answer.
  };
  using FaultHook = std::function<Fault(const Request&, bool done)>;

  Store() : m_server([this](const Request& r) { return Handle(r); }) {}

  bool Open(const std::string& ip) { return m_server.Open(ip); }
  std::string Address() const { return m_server.Address(); }
  /// Opens one more address, at which each request names \p caller. Called
  /// before any other thread uses the store.
  std::string OpenFor(const std::string& ip, int caller) {
    m_callers.push_back(std::make_unique<HttpServer>(
        [this](const Request& r) { return Handle(r); }));
    m_callers.back()->SetCaller(caller);
    return m_callers.back()->Open(ip) ? m_callers.back()->Address() : "";
  }
  /// Closes the connections at the address of \p caller.
  void CloseConnectionsOf(int caller) {
    m_callers.at(static_cast<std::size_t>(caller))->CloseConnections();
  }
  void SilenceConnections() { m_server.SilenceConnections(); }
  void CloseConnections() { m_server.CloseConnections(); }
  void Close() {
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_closing = true;
      m_appended.notify_all();
    }
    m_server.Close();
    for (const auto& server : m_callers) {
      server->Close();
    }
    while (m_late_calls.load() > 0) {
      std::this_thread::sleep_for(Millis(10));
    }
  }

  void SetFaults(FaultHook hook) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_hook = std::move(hook);
  }

  /// Appends a record as the operator or a minion does.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    std::lock_guard<std::mutex> lock(m_mutex);
    AppendRecord(&m_partitions[topic + "/0"],
                 std::string(1, static_cast<char>(key.size())) + key + value);
    m_appended.notify_all();
  }

  /// Drops the history of all topics.
  void Forget() {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& entry : m_partitions) {
      entry.second.m_first += entry.second.m_records.size();
      entry.second.m_records.clear();
    }
  }

  std::size_t CountKeys(const std::string& topic) {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_partitions[topic + "/0"].m_newest.size();
  }

 private:
  static constexpr std::size_t kRecordBytes = 262144;
  static constexpr std::size_t kCallBytes = 2097152;
  static constexpr std::size_t kPageItems = 500;
  static constexpr std::size_t kPageBytes = 1000000;
  static constexpr Millis kAnswerTime{4};

  struct Producer {
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;
    bool m_has_sequence = false;
    std::deque<std::pair<std::uint64_t, std::string>> m_answers;
  };
  struct Newest {
    std::string m_value;
    std::uint64_t m_offset = 0;
  };
  struct Partition {
    std::uint64_t m_first = 0;
    std::deque<std::string> m_records;
    std::map<std::string, Newest> m_newest;
    std::map<std::string, Producer> m_producers;
    std::uint64_t End() const { return m_first + m_records.size(); }
  };

  static void AppendRecord(Partition* partition, const std::string& content) {
    const std::uint64_t offset = partition->End();
    const std::size_t key_size = static_cast<unsigned char>(content[0]);
    const std::string key = content.substr(1, key_size);
    const std::string value = content.substr(1 + key_size);
    partition->m_records.push_back(content);
    if (value.empty()) {
      partition->m_newest.erase(key);
    } else {
      partition->m_newest[key] = {value, offset};
    }
  }

  static Response Status(int status, const Json& body) {
    Response response;
    response.m_status = status;
    response.m_body = body.dump();
    return response;
  }

  Fault FaultOf(const Request& request, bool done) {
    FaultHook hook;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      hook = m_hook;
    }
    return hook ? hook(request, done) : Fault();
  }

  Response Handle(const Request& request) {
    std::this_thread::sleep_for(kAnswerTime);
    const Fault before = FaultOf(request, false);
    std::this_thread::sleep_for(before.m_delay);
    if (before.m_status != 0 || before.m_delivery != Delivery::kAnswer) {
      Response failed = Status(before.m_status, Json::object());
      failed.m_delivery = before.m_delivery;
      return failed;
    }
    if (before.m_late.count() > 0) {
      std::thread([this, request, before] {
        std::this_thread::sleep_for(before.m_late);
        CarryOut(request);
        --m_late_calls;
      }).detach();
      ++m_late_calls;
      Response silent;
      silent.m_delivery = Delivery::kSilent;
      return silent;
    }
    Response response = CarryOut(request);
    const Fault after = FaultOf(request, true);
    std::this_thread::sleep_for(after.m_delay);
    if (after.m_delivery != Delivery::kAnswer) {
      response.m_delivery = after.m_delivery;
    }
    return response;
  }

  Response CarryOut(const Request& request) {
    std::unique_lock<std::mutex> lock(m_mutex);
    const std::string name =
        QueryOr(request, "topic", "") + "/" + QueryOr(request, "part", "0");
    Partition* const partition = &m_partitions[name];
    if (request.m_path == "/api/log-append") {
      return Append(request, partition);
    }
    if (request.m_path == "/api/log-read") {
      return Read(request, partition, &lock);
    }
    if (request.m_path == "/api/log-newest") {
      return ReadNewest(request, *partition);
    }
    return Status(404, Json::object());
  }

  Response Append(const Request& request, Partition* partition) {
    std::vector<std::string> contents;
    std::size_t at = 0;
    while (at + 4 <= request.m_body.size()) {
      const std::size_t size = FromBigEndian(request.m_body, at, 4);
      if (size > kRecordBytes || at + 4 + size > request.m_body.size()) {
        return Status(400, {{"error", "record too large or cut short"}});
      }
      contents.push_back(request.m_body.substr(at + 4, size));
      at += 4 + size;
    }
    if (request.m_body.size() > kCallBytes) {
      return Status(400, {{"error", "call too large"}});
    }
    const std::string expected_end = QueryOr(request, "at", "");
    if (!expected_end.empty() &&
        std::strtoull(expected_end.c_str(), nullptr, 10) != partition->End()) {
      return Status(412, {{"end", partition->End()}});
    }
    const std::string writer = QueryOr(request, "producer", "");
    Producer* producer = nullptr;
    std::uint64_t sequence = 0;
    if (!writer.empty()) {
      producer = &partition->m_producers[writer];
      const std::uint64_t epoch =
          std::strtoull(QueryOr(request, "epoch", "0").c_str(), nullptr, 10);
      sequence =
          std::strtoull(QueryOr(request, "sequence", "0").c_str(), nullptr, 10);
      if (epoch < producer->m_epoch) {
        return Status(409, {{"reason", "fenced"}});
      }
      if (epoch > producer->m_epoch) {
        *producer = Producer();
        producer->m_epoch = epoch;
      }
      for (const auto& answered : producer->m_answers) {
        if (answered.first == sequence && !contents.empty()) {
          return Status(200, Json::parse(answered.second));
        }
      }
      if (producer->m_has_sequence && !contents.empty() &&
          sequence != producer->m_sequence + 1) {
        return Status(
            409, {{"reason", "seq"}, {"sequence", producer->m_sequence + 1}});
      }
    }
    const std::uint64_t offset = partition->End();
    for (const std::string& content : contents) {
      AppendRecord(partition, content);
    }
    const Json body = {{"offset", offset}, {"end", partition->End()}};
    if (producer != nullptr && !contents.empty()) {
      producer->m_has_sequence = true;
      producer->m_sequence = sequence;
      producer->m_answers.emplace_back(sequence, body.dump());
      if (producer->m_answers.size() > 5) {
        producer->m_answers.pop_front();
      }
    }
    m_appended.notify_all();
    return Status(200, body);
  }

  Response Read(const Request& request,
                Partition* partition,
                std::unique_lock<std::mutex>* lock) {
    const std::uint64_t from =
        std::strtoull(QueryOr(request, "from", "0").c_str(), nullptr, 10);
    const Millis wait(
        std::strtol(QueryOr(request, "waitMs", "0").c_str(), nullptr, 10));
    const std::size_t most =
        1024 *
        std::strtoul(QueryOr(request, "maxKb", "1024").c_str(), nullptr, 10);
    m_appended.wait_for(*lock, wait, [&] {
      return m_closing || partition->End() > from || partition->m_first > from;
    });
    if (from < partition->m_first) {
      return Status(410, {{"first", partition->m_first}});
    }
    Response response;
    response.m_type = "application/octet-stream";
    response.m_body =
        BigEndian(partition->End(), 8) + BigEndian(partition->m_first, 8);
    for (std::uint64_t i = from;
         i < partition->End() && response.m_body.size() < most; ++i) {
      const std::string& content =
          partition
              ->m_records[static_cast<std::size_t>(i - partition->m_first)];
      response.m_body += BigEndian(content.size(), 4) + content;
    }
    return response;
  }

  static Response ReadNewest(const Request& request,
                             const Partition& partition) {
    Json items = Json::array();
    std::size_t bytes = 0;
    auto it = partition.m_newest.upper_bound(QueryOr(request, "dependsOn", ""));
    for (; it != partition.m_newest.end() && items.size() < kPageItems &&
           bytes < kPageBytes;
         ++it) {
      items.push_back({{"key", it->first},
                       {"value", Base64(it->second.m_value)},
                       {"offset", it->second.m_offset}});
      bytes += it->second.m_value.size();
    }
    return Status(200, {{"items", items},
                        {"hasMore", it != partition.m_newest.end()},
                        {"end", partition.End()}});
  }

  std::mutex m_mutex;
  std::condition_variable m_appended;
  bool m_closing = false;
  std::atomic<int> m_late_calls{0};
  FaultHook m_hook;
  std::map<std::string, Partition> m_partitions;
  std::vector<std::unique_ptr<HttpServer>> m_callers;
  HttpServer m_server;
};

}  // namespace review
