#include "hostile/relay.h"

#include <csignal>
#include <fstream>

namespace hostile {

namespace {

/// Passes bytes from \p from to \p to until one ends.
void Pass(int from, int to) {
  std::string buffer;
  const review::Clock::time_point never =
      review::Clock::now() + std::chrono::hours(1);
  while (review::ReadMore(from, &buffer, never) &&
         review::SendAll(to, buffer)) {
    buffer.clear();
  }
  shutdown(from, SHUT_RDWR);
  shutdown(to, SHUT_RDWR);
}

void Relay(int client, const std::string& address) {
  const int server = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in peer = review::ParseAddress(address);
  if (connect(server, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0) {
    std::thread back([server, client] { Pass(server, client); });
    Pass(client, server);
    back.join();
  }
  close(server);
}

}  // namespace

review::Delivery DeliveryOf(const std::string& kind) {
  if (kind == "endless-trailers") {
    return review::Delivery::kEndlessTrailers;
  }
  if (kind == "endless-extension") {
    return review::Delivery::kEndlessExtension;
  }
  return kind == "endless-body" ? review::Delivery::kEndlessBody
                                : review::Delivery::kAnswer;
}

int RunRelay(const std::string& address,
             const std::string& kind,
             const std::string& port_file) {
  std::signal(SIGPIPE, SIG_IGN);
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in own = review::ParseAddress("127.0.0.1:0");
  socklen_t size = sizeof(own);
  if (bind(listener, reinterpret_cast<sockaddr*>(&own), size) != 0 ||
      listen(listener, 128) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&own), &size) != 0) {
    return 2;
  }
  std::ofstream(port_file) << ntohs(own.sin_port);
  std::atomic<int> answers{0};
  while (true) {
    const int client = accept(listener, nullptr, nullptr);
    if (client < 0) {
      return 2;
    }
    std::thread([client, &answers, address, kind, port_file] {
      std::string buffer;
      review::Request request;
      if (answers.load() >= kHostileAnswers) {
        Relay(client, address);
      } else if (review::ReadRequest(client, &buffer, &request)) {
        review::SendEndlessAnswer(client, DeliveryOf(kind));
        if (++answers == kHostileAnswers) {
          std::ofstream(port_file + ".relaying") << "1\n";
        }
      }
      close(client);
    }).detach();
  }
}

}  // namespace hostile
