/// \file
/// HTTP service of `hyssopspar-standin`: the log, the VM list, the workers, the
/// endpoints and fault injection.

#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "hyssopspar/http_server.h"
#include "hyssopspar/vm_directory.h"
#include "standin/delay_queue.h"
#include "standin/endpoint_server.h"
#include "standin/log_service.h"
#include "standin/standin_settings.h"
#include "standin/worker_model.h"

namespace hyssopspar::standin {

/// Simulates the platform. All workers and the log share one HTTP server; each
/// endpoint has a server of its own.
class PlatformService {
 public:
  explicit PlatformService(const StandinSettings& settings);
  ~PlatformService();

  Result<void> Start();
  std::uint16_t Port() const { return m_server.Port(); }
  void Stop();

 private:
  /// The VM list that is valid from a given time on.
  struct VmListVersion {
    TimePoint m_valid_from;
    std::vector<Vm> m_vms;
  };

  /// Resource usage of a worker at one time.
  struct UsageSample {
    TimePoint m_time;
    Resources m_used;
    std::size_t m_running_tasks = 0;
  };

  void Handle(HttpRequest request, HttpReply reply);
  void HandleStream(const std::string& path,
                    HttpRequest request,
                    HttpReply reply);
  HttpResponse HandleWorker(const std::string& path,
                            const HttpRequest& request);
  /// Applies one scheduler message to \p worker.
  HttpResponse HandleSync(WorkerModel* worker, const HttpRequest& request);
  /// Returns the usage of \p worker as it was `usage_lag_ms` ago.
  HttpResponse ReportUsage(const std::string& worker);
  void RecordUsage(const WorkerModel& worker, TimePoint now);
  HttpResponse HandleFaults(const HttpRequest& request);
  /// Returns the VM list as it was `vm_list_lag_ms` ago.
  HttpResponse ListVms();
  /// Checks the invariants of all attempts and requests so far.
  HttpResponse CheckRecords();
  HttpResponse ReportStats();
  void CreateVms();
  void SetVmState(const std::string& name, VmState state);
  std::vector<AttemptRun> CollectRuns();

  StandinSettings m_settings;
  DelayQueue m_delay_queue;
  LogService m_log;
  std::mutex m_mutex;
  std::map<std::string, WorkerModel> m_workers;
  std::map<std::string, std::deque<UsageSample>> m_usage_samples;
  std::map<std::string, bool> m_unresponsive_workers;  ///< By worker name.
  std::vector<std::unique_ptr<EndpointServer>> m_endpoints;
  /// Oldest first. Older versions are retained to return the list with a delay.
  std::deque<VmListVersion> m_vm_list_versions;
  HttpServer m_server;
};

}  // namespace hyssopspar::standin
