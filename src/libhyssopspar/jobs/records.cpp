#include "hyssopspar/jobs/records.h"

#include "pvt/archive.h"

namespace hyssopspar::jobs {

namespace {

constexpr const char* kCancelSuffix = "/cancel";

}  // namespace

template <class Archive, class T>
void VisitFields(Archive& archive, T& owner, const OwnerRecord* /*tag*/) {
  archive(owner.m_epoch, owner.m_node, owner.m_process, owner.m_address,
          owner.m_renewals, owner.m_released, owner.m_cpu_capacity,
          owner.m_max_cpu_capacity);
}

std::string CancelKey(const std::string& job_id) {
  return job_id + kCancelSuffix;
}

std::string JobIdOfCancelKey(const std::string& key) {
  const std::size_t at = key.find(kCancelSuffix);
  return at == std::string::npos ? "" : key.substr(0, at);
}

std::string EncodeSubmission(const Submission& job) {
  return pvt::Encode(job);
}

Result<Submission> DecodeSubmission(const std::string& bytes) {
  Result<Submission> job = pvt::Decode<Submission>(bytes);
  if (!job) {
    return job;
  }
  BOOST_OUTCOME_TRY(ValidatePlan(job.value().m_plan));
  return job;
}

std::string EncodeProgress(const JobProgress& progress) {
  return pvt::Encode(progress);
}

Result<JobProgress> DecodeProgress(const std::string& bytes) {
  return pvt::Decode<JobProgress>(bytes);
}

std::string EncodeModel(const InterferenceModel& model) {
  return pvt::Encode(model.Images());
}

Result<InterferenceModel> DecodeModel(const std::string& bytes) {
  const Result<std::map<std::string, ServingImageModel>> images =
      pvt::Decode<std::map<std::string, ServingImageModel>>(bytes);
  if (!images) {
    return images.error();
  }
  return InterferenceModel(images.value());
}

std::string EncodeOwner(const OwnerRecord& owner) {
  return pvt::Encode(owner);
}

Result<OwnerRecord> DecodeOwner(const std::string& bytes) {
  return pvt::Decode<OwnerRecord>(bytes);
}

}  // namespace hyssopspar::jobs
