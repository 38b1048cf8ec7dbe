/// \file
/// The record of a case: what was sent, answered and run, with times in
/// milliseconds since the start of the case.

#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

class Record {
 public:
  explicit Record(const std::string& path)
      : m_file(path), m_started(Clock::now()) {}

  std::int64_t Now() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - m_started).count();
  }

  void Add(const std::string& line) {
    std::lock_guard<std::mutex> lock(m_mutex);
    m_file << Now() << " " << line << std::endl;
  }

 private:
  std::ofstream m_file;
  Clock::time_point m_started;
  std::mutex m_mutex;
};

}  // namespace review
