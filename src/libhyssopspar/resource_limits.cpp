#include "hyssopspar/resource_limits.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace hyssopspar {

namespace {

constexpr std::int64_t kMaxMemoryMb = 1 << 20;
constexpr std::int64_t kMaxDescriptors = 1 << 24;
constexpr std::size_t kMinServerConnections = 16;

}  // namespace

ResourceLimits ReadResourceLimits(SettingsReader* reader) {
  ResourceLimits limits;
  SettingsReader table = reader->Table("limits");
  limits.m_memory_bytes =
      static_cast<std::size_t>(table.Int("memory_mb", 0, 0, kMaxMemoryMb))
      << 20;
  limits.m_max_descriptors =
      static_cast<std::size_t>(table.Int("max_fds", 0, 0, kMaxDescriptors));
  return limits;
}

std::size_t EffectiveMemory(const ResourceLimits& limits) {
  return limits.m_memory_bytes > 0
             ? limits.m_memory_bytes
             : static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
                   static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t EffectiveDescriptors(const ResourceLimits& limits) {
  rlimit system{};
  getrlimit(RLIMIT_NOFILE, &system);
  const std::size_t most = static_cast<std::size_t>(
      std::min<rlim_t>(system.rlim_cur, kMaxDescriptors));
  return limits.m_max_descriptors > 0 ? std::min(limits.m_max_descriptors, most)
                                      : most;
}

std::size_t MaxServerConnections(const ResourceLimits& limits,
                                 std::size_t divisor) {
  if (limits.m_max_descriptors == 0) {
    return 0;
  }
  return std::max(EffectiveDescriptors(limits) / divisor,
                  kMinServerConnections);
}

}  // namespace hyssopspar
