#include "hyssopspar/routing.h"

#include <gtest/gtest.h>

#include "hyssopspar/request_queue.h"

namespace hyssopspar {
namespace {

const TimePoint kNow{std::chrono::hours(1)};
const RouteClass kClass{"quotation", milliseconds(30)};

EndpointView MakeEndpoint(const std::string& name) {
  EndpointView endpoint;
  endpoint.m_name = name;
  endpoint.m_slots = 2;
  return endpoint;
}

TEST(Routing, PredictionPicksEndpointWithLowerServiceTime) {
  EndpointView slow = MakeEndpoint("slow");
  EndpointView fast = MakeEndpoint("fast");
  for (int i = 0; i < 30; ++i) {
    UpdateServiceEstimate(&slow, kClass, RoutingLimits(), milliseconds(90), 0,
                          kNow);
  }
  const std::vector<const EndpointView*> both = {&slow, &fast};
  EXPECT_EQ(RouteByPrediction(both, kClass, RoutingLimits(), 0, kNow), 1U);
}

TEST(Routing, PredictionPicksNearEndpointUntilItsQueueCostsMoreThanRoundTrip) {
  EndpointView near = MakeEndpoint("near");
  EndpointView far = MakeEndpoint("far");
  far.m_round_trip = milliseconds(6);
  const std::vector<const EndpointView*> both = {&near, &far};
  RoutingLimits limits;
  EXPECT_EQ(RouteByPrediction(both, kClass, limits, 1, kNow), 0U);
  near.m_own_requests = 2;
  EXPECT_EQ(RouteByPrediction(both, kClass, limits, 1, kNow), 1U);
}

TEST(Routing, OldUnansweredRequestRaisesExpectedServiceTime) {
  EndpointView frozen = MakeEndpoint("frozen");
  frozen.m_own_requests = 1;
  frozen.m_send_times.insert(kNow - milliseconds(400));
  EXPECT_GE(ExpectedServiceTime(frozen, kClass, RoutingLimits(), kNow),
            milliseconds(100));
}

TEST(Routing, EstimateDecaysToExpectedTimeOfClass) {
  EndpointView endpoint = MakeEndpoint("e");
  for (int i = 0; i < 60; ++i) {
    UpdateServiceEstimate(&endpoint, kClass, RoutingLimits(), milliseconds(300),
                          0, kNow);
  }
  const TimePoint later = kNow + std::chrono::seconds(100);
  EXPECT_LT(ExpectedServiceTime(endpoint, kClass, RoutingLimits(), later),
            milliseconds(32));
}

TEST(Routing, NoPolicyExceedsTheConnectionLimit) {
  EndpointView full = MakeEndpoint("full");
  RoutingLimits limits;
  limits.m_max_connections = 1;
  full.m_own_requests = 1;
  const std::vector<const EndpointView*> one = {&full};
  for (const char* name :
       {"prediction", "in-turn", "own-count", "two-choices"}) {
    EXPECT_FALSE(FindRoutingPolicy(name)(one, kClass, limits, 3, kNow));
  }
}

TEST(RequestQueue, OrdersByDeadlineWithinATenantAndFairlyBetweenTenants) {
  RequestQueue queue;
  Enqueue(&queue, "a", 1, kNow + milliseconds(20));
  Enqueue(&queue, "a", 2, kNow + milliseconds(10));
  Enqueue(&queue, "b", 3, kNow + milliseconds(90));
  std::vector<RequestId> order;
  while (queue.m_size > 0) {
    order.push_back(*Front(queue));
    PopFront(&queue, milliseconds(30), 1);
  }
  EXPECT_EQ(order, (std::vector<RequestId>{2, 3, 1}));
}

TEST(RequestQueue, IdleTenantGainsNoCredit) {
  RequestQueue queue;
  for (RequestId id = 1; id <= 50; ++id) {
    Enqueue(&queue, "busy", id, kNow);
  }
  for (int i = 0; i < 40; ++i) {
    PopFront(&queue, milliseconds(30), 1);
  }
  for (RequestId id = 100; id < 104; ++id) {
    Enqueue(&queue, "late", id, kNow);
  }
  int late = 0;
  for (int i = 0; i < 4; ++i) {
    late += *Front(queue) >= 100 ? 1 : 0;
    PopFront(&queue, milliseconds(30), 1);
  }
  EXPECT_LE(late, 3);
}

TEST(RequestQueue, TakeExpiredRemovesRequestsPastTheirDeadline) {
  RequestQueue queue;
  Enqueue(&queue, "a", 1, kNow);
  Enqueue(&queue, "b", 2, kNow + milliseconds(5));
  EXPECT_EQ(TakeExpired(&queue, kNow + milliseconds(1)),
            std::vector<RequestId>{1});
  EXPECT_EQ(queue.m_size, 1U);
}

}  // namespace
}  // namespace hyssopspar
