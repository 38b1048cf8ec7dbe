// Sends a crowd of hostile clients to a running process and checks that the
// process withstands it. hostile.sh starts the process.

#include <sys/resource.h>

#include <boost/program_options.hpp>
#include <iostream>

#include "hostile/crowd.h"
#include "hostile/relay.h"

namespace po = boost::program_options;

int main(int argc, char** argv) {
  hostile::Target target;
  std::string kind;
  std::string relay_to;
  std::string port_file;
  std::vector<std::string> headers;
  bool settings = false;
  po::options_description description("hostile_crowd");
  description.add_options()("kind", po::value(&kind), "kind of the clients")(
      "pid", po::value(&target.m_pid), "process under test")(
      "address", po::value(&target.m_address), "its address")(
      "line", po::value(&target.m_line), "method and path")(
      "header", po::value(&headers), "header of the request")(
      "body", po::value(&target.m_body), "its body")(
      "status", po::value(&target.m_status), "status of its answer")(
      "relay-to", po::value(&relay_to), "serve hostile answers, then relay")(
      "port-file", po::value(&port_file), "file for the port of the relay")(
      "settings", po::bool_switch(&settings), "print the settings of limits");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, description), values);
  po::notify(values);
  if (settings) {
    std::cout << hostile::LimitSettings();
    return 0;
  }
  if (!relay_to.empty()) {
    return hostile::RunRelay(relay_to, kind, port_file);
  }
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  for (const std::string& header : headers) {
    target.m_headers += header + "\r\n";
  }
  hostile::Crowd crowd(target);
  if (!hostile::LimitDescriptors(target.m_pid) ||
      (kind != "none" && !crowd.Attack(kind))) {
    std::cerr << "can't run kind " << kind << "\n";
    return 2;
  }
  const std::vector<std::string> failures = hostile::FindFailures(target);
  for (const std::string& text : failures) {
    std::cout << kind << ": " << text << "\n";
  }
  return failures.empty() ? 0 : 1;
}
