/// \file
/// A crowd of hostile clients of one process, and the checks that the process
/// has withstood it.

#pragma once

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <vector>

namespace hostile {

/// The process under test and a request that it answers.
struct Target {
  pid_t m_pid = 0;
  std::string m_address;
  std::string m_line;     ///< Method and path of the request.
  std::string m_headers;  ///< Lines of the request, each ended by CR LF.
  std::string m_body;
  int m_status = 200;  ///< Of the answer to the request.
};

/// Memory of the machine in the settings of all tested processes. Resident
/// memory must stay within it.
inline constexpr std::size_t kMemoryMb = 64;
/// Limit of descriptors in the settings, and of the operating system.
inline constexpr std::size_t kMaxDescriptors = 512;

/// The settings of these limits.
std::string LimitSettings();

/// Sets the operating system's limit of descriptors of the process.
bool LimitDescriptors(pid_t pid);

/// Connections of hostile clients. They stay open until the destructor.
class Crowd {
 public:
  explicit Crowd(Target target) : m_target(std::move(target)) {}
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Sends all that clients of \p kind send: "trailers", "extension", "bodies",
  /// "headers", "silent", "readers" or "nested". Returns when the process has
  /// taken it, has closed the connections or takes nothing more. Returns false
  /// for an unknown kind.
  bool Attack(const std::string& kind);

 private:
  struct Member {
    int m_fd = -1;
    std::string m_head;
    std::string m_filler;  ///< Repeated.
    std::size_t m_filler_left = 0;
    std::size_t m_position = 0;  ///< In m_head, then in m_filler.
  };

  void Add(int count,
           const std::string& head,
           const std::string& filler,
           std::size_t filler_bytes);
  /// Sends what the socket takes. Returns false when the member has sent all,
  /// or its connection has ended.
  static bool SendSome(Member* member);
  void SendAll();

  Target m_target;
  std::vector<Member> m_members;
  std::vector<int> m_open;
};

/// Sends the request of \p target until it gets its answer, then checks that
/// the process lives within its limits. Returns a text for each failure.
std::vector<std::string> FindFailures(const Target& target);

}  // namespace hostile
