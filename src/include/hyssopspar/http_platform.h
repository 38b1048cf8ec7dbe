/// \file
/// Implementations of the platform's interfaces over HTTP.

#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hyssopspar/http_client.h"
#include "hyssopspar/log_store.h"
#include "hyssopspar/vm_directory.h"
#include "hyssopspar/worker_control.h"

namespace hyssopspar {

/// LogStore over HTTP. Not thread-safe.
class HttpLogStore : public LogStore {
 public:
  explicit HttpLogStore(std::string address);
  Result<Offset> Append(const std::string& stream,
                        const std::string& payload,
                        TimePoint deadline) override;
  Result<LogSlice> Read(const std::string& stream,
                        Offset from,
                        std::size_t max_records,
                        milliseconds wait,
                        TimePoint deadline) override;

 private:
  HttpClient m_client;
};

/// WorkerControl over HTTP. Not thread-safe. Keeps one connection open to each
/// address that was called.
class HttpWorkerControl : public WorkerControl {
 public:
  Result<WorkerReport> Sync(const std::string& address,
                            const std::string& worker,
                            const WorkerSync& sync,
                            TimePoint deadline) override;

 private:
  /// By address.
  std::map<std::string, std::unique_ptr<HttpClient>> m_clients;
};

/// VmDirectory over HTTP. Not thread-safe.
class HttpVmDirectory : public VmDirectory {
 public:
  explicit HttpVmDirectory(std::string address);
  Result<std::vector<Vm>> Fetch(TimePoint deadline) override;

 private:
  HttpClient m_client;
};

}  // namespace hyssopspar
