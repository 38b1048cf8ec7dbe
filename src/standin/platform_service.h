/// \file
/// HTTP form of the whole stand-in platform.

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

class PlatformService {
 public:
  explicit PlatformService(const StandinSettings& settings);
  ~PlatformService();

  Result<void> Start();
  std::uint16_t Port() const { return m_server.Port(); }
  void Stop();

 private:
  struct ListVersion {
    TimePoint m_since;
    std::vector<Vm> m_vms;
  };

  /// What a worker used at some time.
  struct UsageSample {
    TimePoint m_at;
    Resources m_used;
    std::size_t m_tasks = 0;
  };

  void Handle(HttpRequest request, HttpReply reply);
  void HandleStream(const std::string& path,
                    HttpRequest request,
                    HttpReply reply);
  HttpResponse HandleWorker(const std::string& path,
                            const HttpRequest& request);
  HttpResponse SyncOne(WorkerModel* worker, const HttpRequest& request);
  HttpResponse ReportUsage(const std::string& worker);
  void SampleUsage(const WorkerModel& worker, TimePoint now);
  HttpResponse HandleFaults(const HttpRequest& request);
  HttpResponse ListVms();
  HttpResponse Check();
  HttpResponse Stats();
  void MakeVms();
  void SetVmState(const std::string& name, VmState state);
  std::vector<AttemptRun> AllRuns();

  StandinSettings m_settings;
  DelayQueue m_delays;
  LogService m_log;
  std::mutex m_mutex;
  std::map<std::string, WorkerModel> m_workers;
  std::map<std::string, std::deque<UsageSample>> m_usage;
  std::map<std::string, bool> m_silent;  ///< Workers that don't answer.
  std::vector<std::unique_ptr<EndpointServer>> m_endpoints;
  std::deque<ListVersion> m_lists;
  HttpServer m_server;
};

}  // namespace hyssopspar::standin
