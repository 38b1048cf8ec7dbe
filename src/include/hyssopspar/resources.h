/// \file
/// Resource amounts of workers and tasks.

#pragma once

#include <cstdint>

namespace hyssopspar {

/// Amounts of the resources that a VM has or a task needs.
struct Resources {
  std::int64_t m_cpu_milli = 0;  ///< Thousandths of a processor core.
  std::int64_t m_memory_mib = 0;
  std::int64_t m_accelerators = 0;

  Resources& operator+=(const Resources& other) {
    m_cpu_milli += other.m_cpu_milli;
    m_memory_mib += other.m_memory_mib;
    m_accelerators += other.m_accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    m_cpu_milli -= other.m_cpu_milli;
    m_memory_mib -= other.m_memory_mib;
    m_accelerators -= other.m_accelerators;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend bool operator==(const Resources& a, const Resources& b) {
    return a.m_cpu_milli == b.m_cpu_milli && a.m_memory_mib == b.m_memory_mib &&
           a.m_accelerators == b.m_accelerators;
  }
};

/// True when every amount of \p need is at most that of \p available.
inline bool Fits(const Resources& need, const Resources& available) {
  return need.m_cpu_milli <= available.m_cpu_milli &&
         need.m_memory_mib <= available.m_memory_mib &&
         need.m_accelerators <= available.m_accelerators;
}

/// True when no amount is negative.
inline bool IsNonNegative(const Resources& r) {
  return r.m_cpu_milli >= 0 && r.m_memory_mib >= 0 && r.m_accelerators >= 0;
}

}  // namespace hyssopspar
