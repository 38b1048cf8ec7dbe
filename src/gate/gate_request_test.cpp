#include "gate/gate_request.h"

#include <gtest/gtest.h>

namespace hyssopspar::gate {
namespace {

ConfigDoc MakeDoc() {
  ConfigDoc doc;
  ServiceConfig service;
  service.m_name = "ordering";
  service.m_classes = {RequestClass{"quotation", true, milliseconds(800)},
                       RequestClass{"casting", false, milliseconds(3000)}};
  doc.m_services = {service};
  doc.m_tenants = {TenantConfig{"norte", 1, 1.0}};
  return doc;
}

HttpRequest MakeHttp(const std::string& target) {
  HttpRequest http;
  http.m_method = "POST";
  http.m_target = target;
  http.m_headers["hyssopspar-tenant"] = "norte";
  return http;
}

Result<GateRequest> Parse(const HttpRequest& http) {
  return ParseRequest(MakeDoc(), http, 1, TimePoint());
}

TEST(GateRequest, DeadlineUsesTimeoutHeaderOrElseTimeoutOfClass) {
  HttpRequest http = MakeHttp("/v1/services/ordering/quotation");
  EXPECT_EQ(Parse(http).value().m_deadline, TimePoint(milliseconds(800)));
  http.m_headers["hyssopspar-timeout-ms"] = "50";
  EXPECT_EQ(Parse(http).value().m_deadline, TimePoint(milliseconds(50)));
  http.m_headers["hyssopspar-timeout-ms"] = "-1";
  EXPECT_EQ(Parse(http).error().m_code, ErrorCode::kInvalidArgument);
}

TEST(GateRequest, NonIdempotentClassRequiresIdempotencyKey) {
  HttpRequest http = MakeHttp("/v1/services/ordering/casting");
  EXPECT_EQ(Parse(http).error().m_code, ErrorCode::kInvalidArgument);
  http.m_headers["idempotency-key"] = "k";
  EXPECT_EQ(Parse(http).value().m_key, "norte/k");
}

TEST(GateRequest, RefusesUnknownServiceClassAndTenant) {
  EXPECT_EQ(Parse(MakeHttp("/v1/services/none/quotation")).error().m_code,
            ErrorCode::kNotFound);
  EXPECT_EQ(Parse(MakeHttp("/v1/services/ordering/none")).error().m_code,
            ErrorCode::kNotFound);
  EXPECT_EQ(Parse(MakeHttp("/elsewhere")).error().m_code, ErrorCode::kNotFound);
  HttpRequest http = MakeHttp("/v1/services/ordering/quotation");
  http.m_headers["hyssopspar-tenant"] = "nobody";
  EXPECT_EQ(Parse(http).error().m_code, ErrorCode::kInvalidArgument);
}

TEST(GateRequest, OutcomesMapToHttpStatuses) {
  ReplyAction action;
  action.m_reason = NotRunReason::kDeadline;
  EXPECT_EQ(MakeOutcomeReply(action).m_status, 503);
  EXPECT_EQ(MakeOutcomeReply(action).m_headers["hyssopspar-outcome"],
            "not-run");
  action.m_outcome = Outcome::kUnknown;
  EXPECT_EQ(MakeOutcomeReply(action).m_status, 504);
  action.m_outcome = Outcome::kInProgress;
  EXPECT_EQ(MakeOutcomeReply(action).m_status, 409);
}

}  // namespace
}  // namespace hyssopspar::gate
