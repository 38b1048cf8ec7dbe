// Runs a node against the stand-ins of the platform, with hostile clients or a
// hostile store, and checks that the node withstands them.
// hostile_node PROGRAM KIND FOLDER

#include <sys/resource.h>

#include <filesystem>
#include <iostream>

#include "hostile/crowd.h"
#include "hostile/relay.h"
#include "platform/standin/sample_messages.h"
#include "platform/standin/site.h"

namespace {

hostile::Target MakeTarget(const review::Site& site) {
  hostile::Target target;
  target.m_pid = site.Pid(0);
  target.m_address = site.FrontAddress(0);
  target.m_line = "POST /q/00000000000000aa";
  target.m_headers = "Host: q.example\r\nContent-Type: application/json\r\n";
  target.m_body = review::kSmallJob;
  return target;
}

/// The store answers kHostileAnswers reads with endless answers, while jobs
/// make the node call it.
void AttackFromStore(review::Site* site, review::Delivery delivery) {
  auto left = std::make_shared<std::atomic<int>>(hostile::kHostileAnswers);
  site->GetStore().SetFaults([left, delivery](const review::Request&, bool) {
    review::Store::Fault fault;
    if (left->load() > 0 && left->fetch_sub(1) > 0) {
      fault.m_delivery = delivery;
    }
    return fault;
  });
  review::WaitFor(20000, [&left] { return left->load() <= 0; });
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: hostile_node PROGRAM KIND FOLDER\n";
    return 2;
  }
  const std::string kind = argv[2];
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  std::filesystem::remove_all(argv[3]);
  std::filesystem::create_directories(argv[3]);
  review::CaseArguments arguments;
  arguments.m_program = argv[1];
  arguments.m_folder = argv[3];
  arguments.m_record = arguments.m_folder + "/record.txt";
  arguments.m_more_settings = hostile::LimitSettings();
  review::Site site(arguments);
  site.WriteConfig(3);
  review::MinionSettings worker;
  worker.m_id = "i-1000";
  worker.m_rack = "r1-1";
  worker.m_tick = std::chrono::milliseconds(10);
  site.AddMinion(worker);
  if (!site.StartNodes(1) || !hostile::LimitDescriptors(site.Pid(0))) {
    std::cerr << "the node did not get ready\n";
    return 2;
  }
  const hostile::Target target = MakeTarget(site);
  hostile::Crowd crowd(target);
  const review::Delivery delivery = hostile::DeliveryOf(kind);
  if (delivery != review::Delivery::kAnswer) {
    AttackFromStore(&site, delivery);
  } else if (!crowd.Attack(kind)) {
    std::cerr << "unknown kind: " << kind << "\n";
    return 2;
  }
  const std::vector<std::string> failures = hostile::FindFailures(target);
  for (const std::string& text : failures) {
    std::cout << "node " << kind << ": " << text << "\n";
  }
  return failures.empty() ? 0 : 1;
}
