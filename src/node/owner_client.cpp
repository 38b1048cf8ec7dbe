#include "node/owner_client.h"

#include <cstdlib>
#include <utility>

#include "hyssopspar/logging.h"
#include "hyssopspar/text.h"
#include "node/caller_headers.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogComponent = "owner";
constexpr const char* kJobPath = "/v1/jobs/";
constexpr const char* kAccessPath = "/v1/access/";
constexpr const char* kPendingPath = "/v1/pending/";
constexpr const char* kOfferPath = "/v1/offers/";
/// Answers to queries about access.
constexpr const char* kOpenJob = "open";
constexpr const char* kJobOfAnotherTenant = "other-tenant";
/// Time limit of a takeover offer to the owner.
constexpr milliseconds kOfferTimeout{1000};
/// Unused connections kept to each owner.
constexpr std::size_t kIdleConnections = 2;

/// If \p path starts with \p prefix, sets \p rest to what follows it.
bool ConsumePrefix(const std::string& path,
                   const char* prefix,
                   std::string* rest) {
  if (!StartsWith(path, prefix)) {
    return false;
  }
  *rest = path.substr(std::string(prefix).size());
  return true;
}

HttpResponse TextResponse(std::string text) {
  HttpResponse response;
  response.m_headers["content-type"] = "text/plain";
  response.m_body = std::move(text);
  return response;
}

}  // namespace

OwnerClient::OwnerClient(CellHost* host, DecisionLoop* loop)
    : m_cell_host(host), m_loop(loop), m_pool(1, kIdleConnections) {}

Result<jobs::JobState> OwnerClient::LocalState(
    const std::string& job_id,
    const jobs::CallerIdentity& caller) const {
  const std::optional<jobs::JobState> state =
      m_cell_host->OwnedCell()->StateOf(job_id);
  if (state && MayAccessLocally(job_id, caller)) {
    return *state;
  }
  if (!m_cell_host->IsJobViewFresh()) {
    return Fail(ErrorCode::kUnavailable, "the view of jobs is old");
  }
  return Fail(ErrorCode::kNotFound, "no job " + job_id);
}

bool OwnerClient::MayAccessLocally(const std::string& job_id,
                                   const jobs::CallerIdentity& caller) const {
  return jobs::MayAccess(caller, m_cell_host->OwnedCell()->TenantOf(job_id));
}

Result<std::size_t> OwnerClient::LocalPending(const std::string& queue) const {
  if (!m_cell_host->IsJobViewFresh()) {
    return Fail(ErrorCode::kUnavailable, "the view of jobs is old");
  }
  return m_cell_host->OwnedCell()->CountPendingJobs(queue);
}

void OwnerClient::GetState(const std::string& job_id,
                           const jobs::CallerIdentity& caller,
                           TimePoint deadline,
                           std::function<void(Result<jobs::JobState>)> done) {
  if (m_cell_host->OwnedCell() != nullptr) {
    done(LocalState(job_id, caller));
    return;
  }
  QueryOwner(
      kJobPath + job_id, caller, deadline,
      [done = std::move(done)](const Result<std::string>& text) {
        if (!text) {
          done(text.error());
          return;
        }
        const std::optional<jobs::JobState> state =
            jobs::ParseJobState(text.value());
        if (state) {
          done(*state);
        } else {
          done(Fail(ErrorCode::kMalformed, "unknown state " + text.value()));
        }
      });
}

void OwnerClient::CheckAccess(const std::string& job_id,
                              const jobs::CallerIdentity& caller,
                              TimePoint deadline,
                              std::function<void(Result<bool>)> done) {
  if (m_cell_host->OwnedCell() != nullptr) {
    done(MayAccessLocally(job_id, caller));
    return;
  }
  QueryOwner(kAccessPath + job_id, caller, deadline,
             [done = std::move(done)](const Result<std::string>& text) {
               if (!text) {
                 done(text.error());
               } else {
                 done(text.value() != kJobOfAnotherTenant);
               }
             });
}

void OwnerClient::GetPending(const std::string& queue,
                             const jobs::CallerIdentity& caller,
                             TimePoint deadline,
                             std::function<void(Result<std::size_t>)> done) {
  if (m_cell_host->OwnedCell() != nullptr) {
    done(LocalPending(queue));
    return;
  }
  QueryOwner(kPendingPath + queue, caller, deadline,
             [done = std::move(done)](const Result<std::string>& text) {
               if (!text) {
                 done(text.error());
               } else {
                 done(static_cast<std::size_t>(
                     std::strtoull(text.value().c_str(), nullptr, 10)));
               }
             });
}

void OwnerClient::GetAdmission(
    const jobs::AdmissionQuery& query,
    TimePoint deadline,
    std::function<void(Result<jobs::AdmissionAnswer>)> done) {
  if (m_cell_host->OwnedCell() != nullptr) {
    m_cell_host->AnswerAdmission(query, std::move(done));
    return;
  }
  const std::string target =
      kAdmissionPath + query.m_job + "?queue=" + std::to_string(query.m_queue) +
      "&tenant=" + std::to_string(query.m_tenant) +
      "&cpu_milli=" + std::to_string(query.m_cpu_demand) +
      "&on_time_ms=" + std::to_string(query.m_on_time_wait.count()) +
      "&wait_ms=" + std::to_string(query.m_longest_wait.count());
  QueryOwner(
      target, jobs::CallerIdentity(), deadline,
      [done = std::move(done)](const Result<std::string>& text) {
        if (!text) {
          done(text.error());
          return;
        }
        const std::chrono::seconds retry_after(
            std::strtoll(text.value().c_str(), nullptr, 10));
        done(jobs::AdmissionAnswer{retry_after.count() > 0, retry_after});
      });
}

void OwnerClient::HandleAdmissionQuery(const HttpRequest& request,
                                       const HttpReply& reply) {
  const auto number = [&request](const char* name) {
    return std::strtoll(QueryParameterOr(request.m_target, name).c_str(),
                        nullptr, 10);
  };
  jobs::AdmissionQuery query;
  ConsumePrefix(PathOf(request.m_target), kAdmissionPath, &query.m_job);
  query.m_queue = static_cast<std::uint32_t>(number("queue"));
  query.m_tenant = static_cast<std::uint32_t>(number("tenant"));
  query.m_cpu_demand = number("cpu_milli");
  query.m_on_time_wait = milliseconds(number("on_time_ms"));
  query.m_longest_wait = milliseconds(number("wait_ms"));
  m_cell_host->AnswerAdmission(
      query, [reply](const jobs::AdmissionAnswer& answer) {
        reply(TextResponse(std::to_string(
            answer.m_is_refused ? answer.m_retry_after.count() : 0)));
      });
}

void OwnerClient::QueryOwner(const std::string& target,
                             const jobs::CallerIdentity& caller,
                             TimePoint deadline,
                             std::function<void(Result<std::string>)> done) {
  const jobs::OwnerView& owner = m_cell_host->Owner();
  if (!owner.m_record || owner.m_record->m_released) {
    done(Fail(ErrorCode::kUnavailable, "the cell has no owner"));
    return;
  }
  HttpRequest request;
  request.m_target = target;
  SetCallerHeaders(caller, &request.m_headers);
  m_pool.Send(owner.m_record->m_address, std::move(request), deadline,
              [this, epoch = owner.m_record->m_epoch,
               done = std::move(done)](Result<HttpResponse> answer) {
                m_loop->Post([this, epoch, done, answer = std::move(answer)] {
                  if (!answer) {
                    // The host answers but no process listens there: the owner
                    // has ended. A time-out would not show that.
                    if (IsConnectionRefused(answer.error())) {
                      m_cell_host->MarkOwnerUnreachable(epoch);
                    }
                    done(answer.error());
                  } else if (answer.value().m_status == 404) {
                    done(Fail(ErrorCode::kNotFound, "unknown to the owner"));
                  } else if (answer.value().m_status != 200) {
                    done(Fail(ErrorCode::kUnavailable, answer.value().m_body));
                  } else {
                    done(answer.value().m_body);
                  }
                });
              });
}

void OwnerClient::OfferTakeover(double cpu_capacity) {
  QueryOwner(kOfferPath + std::to_string(cpu_capacity), jobs::CallerIdentity(),
             Clock::now() + kOfferTimeout,
             [](const Result<std::string>& answer) {
               if (!answer) {
                 Log(kLogComponent)
                     ->info("takeover-offer-failed error={}",
                            ToString(answer.error()));
               }
             });
}

HttpResponse OwnerClient::HandleOwnerQuery(const HttpRequest& request) const {
  if (m_cell_host->OwnedCell() == nullptr) {
    return ErrorResponse(503, "not-owner", "this node does not own the cell");
  }
  const jobs::CallerIdentity caller = CallerFromHeaders(request.m_headers);
  std::string rest;
  if (ConsumePrefix(request.m_target, kAccessPath, &rest)) {
    return TextResponse(MayAccessLocally(rest, caller) ? kOpenJob
                                                       : kJobOfAnotherTenant);
  }
  if (ConsumePrefix(request.m_target, kJobPath, &rest)) {
    const Result<jobs::JobState> state = LocalState(rest, caller);
    if (state) {
      return TextResponse(ToString(state.value()));
    }
    Log(kLogComponent)
        ->info("query-failed job={} tenant={} revision={} error={}", rest,
               caller.m_tenant.value_or(""), caller.m_config_revision,
               ToString(state.error()));
    const int status = state.error().m_code == ErrorCode::kNotFound ? 404 : 503;
    return ErrorResponse(status, std::string(ToString(state.error().m_code)),
                         state.error().m_detail);
  }
  if (ConsumePrefix(request.m_target, kPendingPath, &rest)) {
    const Result<std::size_t> pending = LocalPending(rest);
    return pending
               ? TextResponse(std::to_string(pending.value()))
               : ErrorResponse(503, "unavailable", pending.error().m_detail);
  }
  if (ConsumePrefix(request.m_target, kOfferPath, &rest)) {
    m_cell_host->OnTakeoverOffer(std::strtod(rest.c_str(), nullptr));
    return TextResponse("noted");
  }
  return ErrorResponse(400, "invalid-argument", "unknown path");
}

void OwnerClient::Stop() {
  m_pool.Stop();
}

}  // namespace hyssopspar::node
