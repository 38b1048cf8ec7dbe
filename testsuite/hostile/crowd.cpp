#include "hostile/crowd.h"

#include <fcntl.h>
#include <sys/resource.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "platform/standin/http.h"

namespace hostile {

namespace {

using review::Clock;
using review::Millis;

/// A process that takes no byte of any client for this time takes no more.
constexpr Millis kNoProgress{3000};
/// Tries of the ordinary request, as many as site_wait_ready makes.
constexpr int kTries = 400;
constexpr Millis kPause{50};
constexpr Millis kCallTimeout{5000};

/// Opens a connection. The small receive buffer keeps answers that the client
/// doesn't read in the process.
int Connect(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const int small = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
  sockaddr_in peer = review::ParseAddress(address);
  // Refused connections show when the member sends.
  static_cast<void>(
      connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)));
  return fd;
}

/// Value of a line of /proc/PID/status in KiB, or the text of another one.
std::string StatusLine(pid_t pid, const std::string& name) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.compare(0, name.size(), name) == 0) {
      std::istringstream words(line.substr(name.size()));
      std::string word;
      words >> word;
      return word;
    }
  }
  return "";
}

std::size_t CountDescriptors(pid_t pid) {
  std::error_code ec;
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(pid) + "/fd", ec);
  return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

/// Status of the answer to the request of \p target; 0 without one.
int SendOrdinaryRequest(const Target& target) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in peer = review::ParseAddress(target.m_address);
  const std::string request =
      target.m_line + " HTTP/1.1\r\n" + target.m_headers +
      "Content-Length: " + std::to_string(target.m_body.size()) +
      "\r\nConnection: close\r\n\r\n" + target.m_body;
  std::string answer;
  const bool sent =
      connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0 &&
      review::SendAll(fd, request);
  const Clock::time_point deadline = Clock::now() + kCallTimeout;
  while (sent && answer.find("\r\n\r\n") == std::string::npos &&
         review::ReadMore(fd, &answer, deadline)) {
  }
  close(fd);
  return answer.find("\r\n\r\n") == std::string::npos
             ? 0
             : std::atoi(answer.c_str() + std::string("HTTP/1.1 ").size());
}

}  // namespace

std::string LimitSettings() {
  return "[limits]\nmemory_mb = " + std::to_string(kMemoryMb) +
         "\nmax_fds = " + std::to_string(kMaxDescriptors) + "\n";
}

bool LimitDescriptors(pid_t pid) {
  const rlimit limit{kMaxDescriptors, kMaxDescriptors};
  return prlimit(pid, RLIMIT_NOFILE, &limit, nullptr) == 0;
}

Crowd::~Crowd() {
  for (const int fd : m_open) {
    close(fd);
  }
}

bool Crowd::Attack(const std::string& kind) {
  const std::string post =
      m_target.m_line + " HTTP/1.1\r\n" + m_target.m_headers;
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string sized = post + "Content-Length: ";
  constexpr std::size_t kBody = 1000000;
  if (kind == "trailers") {
    Add(8, chunked + "2\r\n{}\r\n0\r\n",
        "x-filler: " + std::string(4000, 'a') + "\r\n", 32 << 20);
  } else if (kind == "extension") {
    Add(8, chunked + "2;x=", std::string(4096, 'a'), 32 << 20);
  } else if (kind == "bodies") {
    Add(200, sized + std::to_string(kBody) + "\r\n\r\n", std::string(4096, 'a'),
        kBody - 1);
  } else if (kind == "headers") {
    Add(400, post, "a:\r\n", 15000);
  } else if (kind == "silent") {
    Add(600, "", "", 0);
  } else if (kind == "readers") {
    const std::string request =
        sized + std::to_string(kBody) + "\r\n\r\n" + std::string(kBody, 'a');
    Add(100, "", request, 6 * request.size());
  } else if (kind == "nested") {
    Add(4, sized + std::to_string(kBody) + "\r\n\r\n", "[", kBody);
    Add(4, sized + std::to_string(kBody) + "\r\n\r\n{\"steps\":", "[{\"a\":",
        kBody - 9);
  } else {
    return false;
  }
  SendAll();
  return true;
}

void Crowd::Add(int count,
                const std::string& head,
                const std::string& filler,
                std::size_t filler_bytes) {
  for (int i = 0; i < count; ++i) {
    m_members.push_back(
        {Connect(m_target.m_address), head, filler, filler_bytes, 0});
    m_open.push_back(m_members.back().m_fd);
  }
}

bool Crowd::SendSome(Member* member) {
  const bool in_head = member->m_position < member->m_head.size();
  const std::string& text = in_head ? member->m_head : member->m_filler;
  std::size_t size = text.size() - member->m_position;
  if (!in_head) {
    size = std::min(size, member->m_filler_left);
  }
  if (size == 0) {
    return false;
  }
  const ssize_t sent =
      send(member->m_fd, text.data() + member->m_position, size, MSG_NOSIGNAL);
  if (sent < 0) {
    return errno == EAGAIN || errno == ENOTCONN;
  }
  member->m_position += static_cast<std::size_t>(sent);
  if (!in_head) {
    member->m_filler_left -= static_cast<std::size_t>(sent);
  }
  if (member->m_position == text.size()) {
    member->m_head.clear();
    member->m_position = 0;
  }
  return in_head || member->m_filler_left > 0;
}

void Crowd::SendAll() {
  std::vector<Member*> sending;
  sending.reserve(m_members.size());
  for (Member& member : m_members) {
    sending.push_back(&member);
  }
  Clock::time_point progress = Clock::now();
  while (!sending.empty() && Clock::now() < progress + kNoProgress) {
    std::vector<pollfd> waits;
    waits.reserve(sending.size());
    for (const Member* member : sending) {
      waits.push_back({member->m_fd, POLLOUT, 0});
    }
    if (poll(waits.data(), waits.size(), 100) <= 0) {
      continue;
    }
    progress = Clock::now();
    std::vector<Member*> left;
    for (std::size_t i = 0; i < sending.size(); ++i) {
      if (waits[i].revents == 0 || SendSome(sending[i])) {
        left.push_back(sending[i]);
      }
    }
    sending = std::move(left);
  }
}

std::vector<std::string> FindFailures(const Target& target) {
  std::vector<std::string> failures;
  int status = 0;
  for (int i = 0; i < kTries && status != target.m_status; ++i) {
    std::this_thread::sleep_for(i > 0 ? kPause : Millis(0));
    status = StatusLine(target.m_pid, "State:") == "Z"
                 ? 0
                 : SendOrdinaryRequest(target);
  }
  if (status != target.m_status) {
    failures.push_back("ordinary request: status " + std::to_string(status));
  }
  const std::string state = StatusLine(target.m_pid, "State:");
  if (state.empty() || state == "Z") {
    failures.emplace_back("the process has ended");
    return failures;
  }
  const std::string peak = StatusLine(target.m_pid, "VmHWM:");
  std::cout << "peak of resident memory: " << peak << " KiB\n";
  if (std::stoul(peak) > kMemoryMb << 10) {
    failures.push_back("resident memory: " + peak + " KiB");
  }
  if (CountDescriptors(target.m_pid) > kMaxDescriptors) {
    failures.push_back("too many open descriptors");
  }
  return failures;
}

}  // namespace hostile
