/// \file
/// A small HTTP/1.1 server and client on blocking sockets, for the stand-ins of
/// the review and the fleet runs. One thread serves each connection.

#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Request {
  std::string m_method;
  std::string m_path;                            ///< Without the query.
  std::map<std::string, std::string> m_query;    ///< Decoded.
  std::map<std::string, std::string> m_headers;  ///< By lower-case name.
  std::string m_body;
  int m_caller = -1;  ///< That of the server, see HttpServer::SetCaller.
};

/// What happens to the connection instead of an answer.
enum class Delivery {
  kAnswer,
  kSilent,
  kReset,
  kEndlessTrailers,
  kEndlessExtension,
  kEndlessBody
};

/// Bytes of an endless answer, after which its sender gives up.
inline constexpr std::size_t kEndlessAnswerBytes = 96 << 20;

struct Response {
  int m_status = 200;
  std::string m_body = "{}";
  std::string m_type = "application/json";
  Delivery m_delivery = Delivery::kAnswer;
};

using Handler = std::function<Response(const Request&)>;

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

inline std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

inline std::string QueryOr(const Request& request,
                           const std::string& key,
                           const std::string& fallback) {
  const auto it = request.m_query.find(key);
  return it == request.m_query.end() ? fallback : it->second;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Sends an answer that has no end. Returns false if the peer closed the
/// connection, or took kEndlessAnswerBytes.
inline bool SendEndlessAnswer(int fd, Delivery delivery) {
  const std::string line = "x-filler: " + std::string(4000, 'a') + "\r\n";
  const std::string text(4096, 'a');
  const bool trailers = delivery == Delivery::kEndlessTrailers;
  bool sent =
      SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  if (delivery == Delivery::kEndlessBody) {
    sent = sent && SendAll(fd, "7fffffff\r\n");
  } else {
    sent = sent && SendAll(fd, trailers ? "0\r\n" : "5;x=");
  }
  for (std::size_t n = 0; sent && n < kEndlessAnswerBytes; n += text.size()) {
    sent = SendAll(fd, trailers ? line : text);
  }
  return false;
}

/// Reads more bytes before \p deadline. Returns false at the end of the
/// connection or at the deadline.
inline bool ReadMore(int fd, std::string* buffer, Clock::time_point deadline) {
  const auto left =
      std::chrono::duration_cast<Millis>(deadline - Clock::now()).count();
  pollfd waiter{fd, POLLIN, 0};
  if (left <= 0 ||
      poll(&waiter, 1, static_cast<int>(std::min<long>(left, 3600000))) <= 0) {
    return false;
  }
  char chunk[65536];
  const ssize_t n = recv(fd, chunk, sizeof(chunk), 0);
  if (n <= 0) {
    return false;
  }
  buffer->append(chunk, static_cast<std::size_t>(n));
  return true;
}

/// Splits the head of a message, which ends at \p head_end, into its first line
/// and its headers.
inline std::string ParseHead(const std::string& buffer,
                             std::size_t head_end,
                             std::map<std::string, std::string>* headers) {
  const std::string head = buffer.substr(0, head_end);
  std::size_t position = head.find("\r\n");
  const std::string first = head.substr(0, position);
  while (position != std::string::npos) {
    const std::size_t start = position + 2;
    position = head.find("\r\n", start);
    const std::string line = head.substr(
        start, position == std::string::npos ? position : position - start);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      (*headers)[Lower(line.substr(0, colon))] = value;
    }
  }
  return first;
}

inline sockaddr_in ParseAddress(const std::string& address) {
  sockaddr_in parsed{};
  const std::size_t colon = address.rfind(':');
  parsed.sin_family = AF_INET;
  parsed.sin_port = htons(static_cast<std::uint16_t>(
      std::strtoul(address.substr(colon + 1).c_str(), nullptr, 10)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

/// Reads one request. Returns false at the end of the connection.
inline bool ReadRequest(int fd, std::string* buffer, Request* request) {
  const Clock::time_point never = Clock::now() + std::chrono::hours(1);
  std::size_t head_end = 0;
  while ((head_end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd, buffer, never)) {
      return false;
    }
  }
  *request = Request();
  const std::string first = ParseHead(*buffer, head_end, &request->m_headers);
  const std::size_t size =
      std::strtoul(request->m_headers["content-length"].c_str(), nullptr, 10);
  while (buffer->size() < head_end + 4 + size) {
    if (!ReadMore(fd, buffer, never)) {
      return false;
    }
  }
  request->m_body = buffer->substr(head_end + 4, size);
  buffer->erase(0, head_end + 4 + size);
  const std::size_t space = first.find(' ');
  request->m_method = first.substr(0, space);
  const std::string target =
      first.substr(space + 1, first.rfind(' ') - space - 1);
  std::size_t position = target.find('?');
  request->m_path = target.substr(0, position);
  while (position != std::string::npos) {
    const std::size_t start = position + 1;
    position = target.find('&', start);
    const std::string pair = target.substr(
        start, position == std::string::npos ? position : position - start);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      request->m_query[pair.substr(0, equals)] =
          Unescape(pair.substr(equals + 1));
    }
  }
  return true;
}

/// A server that can be closed, as when its process ends, and opened again at
/// the same address.
class HttpServer {
 public:
  explicit HttpServer(Handler handler) : m_handler(std::move(handler)) {}
  ~HttpServer() { Close(); }
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens at \p ip and, at the first call, at any free port.
  bool Open(const std::string& ip) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = ParseAddress(ip + ":" + std::to_string(m_port));
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd, 512) != 0) {
      close(fd);
      return false;
    }
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_ip = ip;
    m_listener = fd;
    m_open.store(true);
    m_acceptor = std::thread([this, fd] { AcceptLoop(fd); });
    return true;
  }

  /// Closes the listening socket and all connections.
  void Close() {
    if (!m_open.exchange(false)) {
      return;
    }
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    CloseConnections();
    while (m_threads.load() > 0) {
      std::this_thread::sleep_for(Millis(1));
    }
  }

  void CloseConnections() {
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const int fd : m_connections) {
      shutdown(fd, SHUT_RDWR);
    }
  }

  /// From now on the open connections carry nothing more, either way; new ones
  /// work.
  void SilenceConnections() {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_silenced.insert(m_connections.begin(), m_connections.end());
  }

  /// Callers are told apart by the server that they use. Called before Open.
  void SetCaller(int caller) { m_caller = caller; }

  bool IsOpen() const { return m_open.load(); }
  std::string Address() const { return m_ip + ":" + std::to_string(m_port); }

 private:
  void AcceptLoop(int listener) {
    while (m_open.load()) {
      const int fd = accept(listener, nullptr, nullptr);
      if (fd < 0) {
        std::this_thread::sleep_for(Millis(1));
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.insert(fd);
      }
      ++m_threads;
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

  void Serve(int fd) {
    std::string buffer;
    Request request;
    while (m_open.load() && ReadRequest(fd, &buffer, &request)) {
      request.m_caller = m_caller;
      const bool silent_before = IsSilenced(fd);
      const Response response = silent_before
                                    ? Response{200, "", "", Delivery::kSilent}
                                    : m_handler(request);
      if (IsSilenced(fd)) {
        WaitForEnd(fd);
        break;
      }
      if (response.m_delivery == Delivery::kSilent) {
        WaitForEnd(fd);
        break;
      }
      if (response.m_delivery == Delivery::kReset) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        break;
      }
      const bool endless = response.m_delivery != Delivery::kAnswer;
      const bool sent =
          endless
              ? SendEndlessAnswer(fd, response.m_delivery)
              : SendAll(fd, "HTTP/1.1 " + std::to_string(response.m_status) +
                                " X\r\nContent-Type: " + response.m_type +
                                "\r\nContent-Length: " +
                                std::to_string(response.m_body.size()) +
                                "\r\n\r\n" + response.m_body);
      if (!sent) {
        break;
      }
    }
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_connections.erase(fd);
      m_silenced.erase(fd);
      close(fd);
    }
    --m_threads;
  }

  bool IsSilenced(int fd) {
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_silenced.count(fd) > 0;
  }

  /// Discards what arrives until the connection ends.
  void WaitForEnd(int fd) {
    std::string ignored;
    while (m_open.load() &&
           ReadMore(fd, &ignored, Clock::now() + std::chrono::hours(1))) {
      ignored.clear();
    }
  }

  Handler m_handler;
  std::string m_ip;
  std::uint16_t m_port = 0;
  int m_caller = -1;
  int m_listener = -1;
  std::atomic<bool> m_open{false};
  std::atomic<int> m_threads{0};
  std::thread m_acceptor;
  std::mutex m_mutex;
  std::set<int> m_connections;
  std::set<int> m_silenced;
};

/// Answer to a call; status 0 if there was none.
struct Answer {
  int m_status = 0;
  std::string m_body;
};

/// Makes one call on a connection of its own.
inline Answer Call(const std::string& address,
                   const std::string& method,
                   const std::string& target,
                   const std::string& host,
                   const std::string& body,
                   Millis timeout) {
  const Clock::time_point deadline = Clock::now() + timeout;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in peer = ParseAddress(address);
  Answer answer;
  std::string buffer;
  std::map<std::string, std::string> headers;
  const bool sent =
      connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0 &&
      SendAll(fd, method + " " + target + " HTTP/1.1\r\nHost: " + host +
                      "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " +
                      std::to_string(timeout.count()) +
                      "\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\nConnection: close\r\n\r\n" + body);
  std::size_t head_end = std::string::npos;
  while (sent && (head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd, &buffer, deadline)) {
      break;
    }
  }
  if (head_end != std::string::npos) {
    const std::string first = ParseHead(buffer, head_end, &headers);
    const std::size_t size =
        std::strtoul(headers["content-length"].c_str(), nullptr, 10);
    bool whole = true;
    while (whole && buffer.size() < head_end + 4 + size) {
      whole = ReadMore(fd, &buffer, deadline);
    }
    if (whole) {
      answer.m_status =
          static_cast<int>(std::strtol(first.c_str() + 9, nullptr, 10));
      answer.m_body = buffer.substr(head_end + 4, size);
    }
  }
  close(fd);
  return answer;
}

}  // namespace review
