#include "hyssopspar/ids.h"

#include <xxhash.h>

#include <cstdio>
#include <random>

namespace hyssopspar {

std::string FormatJobId(JobId job) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(job));
  return text;
}

std::string FormatTaskId(const TaskId& task) {
  return FormatJobId(task.m_job) + "/" + std::to_string(task.m_index);
}

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

JobId MakeJobId(std::string_view tenant, std::string_view key) {
  return Hash(key, Hash(tenant));
}

std::uint64_t RandomId() {
  std::random_device device;
  std::uint64_t id = 0;
  while (id == 0) {
    id = (static_cast<std::uint64_t>(device()) << 32) | device();
  }
  return id;
}

}  // namespace hyssopspar
