#include <gtest/gtest.h>

#include "node/cell_host_fixture.h"

namespace hyssopspar::node {
namespace {

using CellHostAdmissionTest = CellHostTest;

// A node without the owner's load refuses nothing.
TEST_F(CellHostAdmissionTest, RenewalsCarryTheLoadToOtherNodes) {
  StartWithOwnerA();
  WaitUntil(
      [this] { return m_b->m_host.Owner().m_record->m_load.has_value(); });
  EXPECT_TRUE(OnLoop([this] {
    return m_b->m_host.Owner().m_record->m_load->m_queues.empty();
  }));
}

// Questions to a node that isn't, or no longer is, the owner must be answered:
// the job waits for the answer.
TEST_F(CellHostAdmissionTest, AdmitsWithoutOwnershipAndStoredJobs) {
  AddCancelledJob("stored");
  StartWithOwnerA();
  for (Node* const node : {m_a.get(), m_b.get()}) {
    for (const std::string job : {"stored", "new"}) {
      std::promise<jobs::AdmissionAnswer> answered;
      m_loop.Post([&] {
        jobs::AdmissionQuery query;
        query.m_job = job;
        node->m_host.AnswerAdmission(
            query, [&answered](const jobs::AdmissionAnswer& answer) {
              answered.set_value(answer);
            });
      });
      EXPECT_FALSE(answered.get_future().get().m_is_refused);
    }
  }
}

}  // namespace
}  // namespace hyssopspar::node
