#include "node/front.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "hyssopspar/jobs/records.h"
#include "hyssopspar/logging.h"
#include "node/request_deadline.h"
#include "node/retry_after.h"
#include "node/store_answer.h"

namespace hyssopspar::node {

namespace {

constexpr const char* kLogComponent = "front";
constexpr const char* kApiKeyHeader = "api-key";
constexpr std::size_t kJobIdDigits = 16;
/// Time limit of a query to the cell's owner.
constexpr milliseconds kOwnerQueryTimeout{1000};
/// Time limit of the query that precedes a cancellation. Most of the caller's
/// time is left for storing the record.
constexpr milliseconds kAccessQueryTimeout{500};

bool IsJobId(const std::string& text) {
  return text.size() == kJobIdDigits &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c) != 0; });
}

/// The request's host without a port.
std::string HostOf(const HttpRequest& request) {
  const std::string host = HeaderOr(request.m_headers, "host");
  return host.substr(0, host.find(':'));
}

jobs::CallKey KeyOf(const HttpRequest& request) {
  jobs::CallKey key;
  const auto header = request.m_headers.find(kApiKeyHeader);
  if (header != request.m_headers.end()) {
    key.m_value = header->second;
  }
  key.m_is_ambiguous = request.m_ambiguous_headers.count(kApiKeyHeader) > 0;
  return key;
}

HttpResponse UnknownJob() {
  return ErrorResponse(410, "not-found", "no such job");
}

}  // namespace

Front::Front(jobs::PlatformAdapter* platform,
             const OperatorView* operator_view,
             OwnerClient* owner_client,
             AdmissionGate* admission,
             JobAppender* appender,
             const StoreLimits& limits,
             const jobs::KeyViewSettings& key_view,
             Metrics* metrics)
    : m_platform(platform),
      m_operator_view(operator_view),
      m_owner_client(owner_client),
      m_admission(admission),
      m_appender(appender),
      m_limits(limits),
      m_key_view(key_view),
      m_metrics(metrics) {}

std::optional<jobs::CallerIdentity> Front::Authenticate(
    const jobs::QueueRoute& queue,
    const HttpRequest& request,
    const HttpReply& reply) {
  const TimePoint now = Clock::now();
  const Result<jobs::CallerIdentity> caller =
      jobs::AuthenticateCaller(m_operator_view->Config(), queue, KeyOf(request),
                               m_key_view, m_operator_view->CurrentAsOf(), now);
  if (caller) {
    return caller.value();
  }
  const Error& error = caller.error();
  const bool stale = error.m_code == ErrorCode::kUnavailable;
  const char* const reason = stale ? "stale-keys" : "unauthenticated";
  m_metrics
      ->Value("hyssopspar_calls_refused_total",
              FormatMetricLabel("reason", reason))
      .fetch_add(1);
  const std::optional<std::size_t> calls =
      CountRefusal(&m_refusals, reason, now);
  if (calls) {
    Log(kLogComponent)
        ->info(
            "call-refused reason={} calls={} queue={} revision={} "
            "view_age_ms={} error={}",
            reason, *calls, queue.m_policy.m_name,
            m_operator_view->Config().m_revision,
            ToMillis(now - m_operator_view->CurrentAsOf()), ToString(error));
  }
  if (stale) {
    reply(Unavailable(error.m_detail));
  } else {
    reply(ErrorResponse(401, std::string(ToString(error.m_code)),
                        error.m_detail));
  }
  return std::nullopt;
}

void Front::Handle(const HttpRequest& request,
                   TimePoint received,
                   const HttpReply& reply) {
  if (!m_operator_view->HasConfig()) {
    reply(Unavailable("no configuration yet"));
    return;
  }
  const std::string path = PathOf(request.m_target);
  const jobs::QueueRoute* const queue =
      jobs::MatchQueue(m_operator_view->Config(), HostOf(request), path);
  if (queue == nullptr) {
    Log(kLogComponent)
        ->info("no-queue revision={}", path,
               m_operator_view->Config().m_revision);
    reply(ErrorResponse(404, "not-found", "no such queue"));
    return;
  }
  const std::optional<jobs::CallerIdentity> caller =
      Authenticate(*queue, request, reply);
  if (!caller) {
    return;
  }
  const std::string job_id = path.substr(queue->m_path_prefix.size());
  const TimePoint deadline = DeadlineOf(request, received);
  if (request.m_method == "GET" && job_id.empty()) {
    AnswerPending(*caller, queue->m_policy.m_name, deadline, reply);
  } else if (!IsJobId(job_id)) {
    reply(ErrorResponse(400, "invalid-argument",
                        "a job's id has 16 hexadecimal digits"));
  } else if (request.m_method == "POST") {
    Submit(*queue, *caller, job_id, request, deadline, reply);
  } else if (request.m_method == "GET") {
    AnswerState(*caller, job_id, deadline, reply);
  } else if (request.m_method == "DELETE") {
    Cancel(*caller, job_id, deadline, reply);
  } else {
    reply(ErrorResponse(405, "invalid-argument", "unknown method"));
  }
}

void Front::Submit(const jobs::QueueRoute& queue,
                   const jobs::CallerIdentity& caller,
                   const std::string& job_id,
                   const HttpRequest& request,
                   TimePoint deadline,
                   const HttpReply& reply) {
  if (request.m_body.size() > m_operator_view->Config().m_max_body_bytes) {
    reply(ErrorResponse(413, "too-large", "job too large"));
    return;
  }
  Result<jobs::JobPlan> plan = m_platform->DecodeJob(request.m_body);
  if (!plan) {
    Log(kLogComponent)
        ->info("job-refused id={} error={}", job_id, ToString(plan.error()));
    reply(ErrorResponse(400, std::string(ToString(plan.error().m_code)),
                        plan.error().m_detail));
    return;
  }
  jobs::Submission submission;
  submission.m_id = job_id;
  submission.m_accepted_unix_ms =
      ToMillis(std::chrono::system_clock::now().time_since_epoch());
  submission.m_queue = queue.m_policy;
  submission.m_plan = std::move(plan.value());
  submission.m_tenant = caller.m_tenant.value_or("");
  submission.m_config_revision = caller.m_config_revision;
  const Result<std::string> record =
      jobs::EncodeStorableSubmission(submission, m_limits);
  if (!record) {
    Log(kLogComponent)
        ->info("job-refused id={} error={}", job_id, ToString(record.error()));
    reply(ErrorResponse(413, std::string(ToString(record.error().m_code)),
                        record.error().m_detail));
    return;
  }
  m_admission->Check(submission, deadline, reply,
                     [this, job_id, record = record.value(), deadline, reply] {
                       Store({job_id, record}, deadline, reply);
                     });
}

void Front::Cancel(const jobs::CallerIdentity& caller,
                   const std::string& job_id,
                   TimePoint deadline,
                   const HttpReply& reply) {
  const TimePoint now = Clock::now();
  const KeyedRecord record{
      jobs::CancelKey(job_id, caller.m_tenant.value_or("")),
      jobs::EncodeCancellation(caller)};
  if (!caller.m_tenant) {
    Store(record, deadline, reply);
    return;
  }
  // Only the owner knows whose job it is. When it can't be asked, or has not
  // read the job yet, the record is stored all the same: the cell ignores it if
  // the job is another tenant's.
  m_owner_client->CheckAccess(
      job_id, caller, std::min(deadline, now + kAccessQueryTimeout),
      [this, record, deadline, job_id, reply](const Result<bool>& access) {
        if (access && !access.value()) {
          Log(kLogComponent)->info("cancellation-refused id={}", job_id);
          reply(UnknownJob());
        } else {
          Store(record, deadline, reply);
        }
      });
}

void Front::Store(KeyedRecord record,
                  TimePoint deadline,
                  const HttpReply& reply) {
  const std::string key = record.m_key;
  m_appender->Store(
      std::move(record), deadline, [this, key, reply](StoreOutcome outcome) {
        reply(StoreAnswer(outcome, RetryAfter(m_appender->FailingSince(), key,
                                              Clock::now())));
      });
}

void Front::AnswerState(const jobs::CallerIdentity& caller,
                        const std::string& job_id,
                        TimePoint deadline,
                        const HttpReply& reply) {
  const TimePoint now = Clock::now();
  m_owner_client->GetState(
      job_id, caller, std::min(deadline, now + kOwnerQueryTimeout),
      [this, job_id, reply](const Result<jobs::JobState>& state) {
        if (state) {
          reply(JsonResponse(200, m_platform->EncodeState(state.value())));
        } else if (state.error().m_code == ErrorCode::kNotFound) {
          Log(kLogComponent)->info("unknown-job id={}", job_id);
          reply(UnknownJob());
        } else {
          Log(kLogComponent)
              ->info("state-unknown id={} error={}", job_id,
                     ToString(state.error()));
          reply(Unavailable("the owner of the job can't be asked"));
        }
      });
}

void Front::AnswerPending(const jobs::CallerIdentity& caller,
                          const std::string& queue,
                          TimePoint deadline,
                          const HttpReply& reply) {
  const TimePoint now = Clock::now();
  m_owner_client->GetPending(
      queue, caller, std::min(deadline, now + kOwnerQueryTimeout),
      [this, reply](const Result<std::size_t>& pending) {
        if (pending) {
          reply(JsonResponse(200, m_platform->EncodePending(pending.value())));
        } else {
          reply(Unavailable("the owner of the queue can't be asked"));
        }
      });
}

}  // namespace hyssopspar::node
