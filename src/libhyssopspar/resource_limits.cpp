#include "hyssopspar/resource_limits.h"

namespace hyssopspar {

namespace {

constexpr std::int64_t kMaxMemoryMb = 1 << 20;
constexpr std::int64_t kMaxDescriptors = 1 << 24;

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

}  // namespace hyssopspar
