#include "fleet/clients.h"

#include <random>

namespace fleet {

namespace {

constexpr int kSubmitters = 6;
constexpr int kAskers = 2;
constexpr int kAttempts = 8;
constexpr milliseconds kTimeout{1500};
constexpr milliseconds kRetryDelay{300};
constexpr milliseconds kAskPeriod{20};

void Sleep(milliseconds time) {
  std::this_thread::sleep_for(time);
}

bool IsTerminal(const std::string& state) {
  return state == "completed" || state == "failed" || state == "cancelled";
}

bool IsObjection(const std::string& state) {
  return state == "failed" || state == "cancelled" || state == "unknown";
}

}  // namespace

Clients::Clients(FleetSite* site, const std::vector<JobPlan>& jobs, int nodes)
    : m_site(site), m_nodes(nodes) {
  for (const JobPlan& job : jobs) {
    m_jobs.push_back({job, false, milliseconds(0), ""});
  }
}

void Clients::Start(std::uint64_t seed) {
  m_started_at = m_site->Now();
  for (int i = 0; i < kSubmitters; ++i) {
    m_threads.emplace_back(
        [this, seed, i] { SubmitLoop(seed + static_cast<std::uint64_t>(i)); });
  }
  for (int i = 0; i < kAskers; ++i) {
    m_threads.emplace_back([this, seed, i] {
      AskLoop(seed + static_cast<std::uint64_t>(100 + i));
    });
  }
}

void Clients::Stop() {
  m_stopping.store(true);
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

std::vector<JobSeen> Clients::Jobs() {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_jobs;
}

std::vector<Objection> Clients::Objections() {
  std::lock_guard<std::mutex> lock(m_mutex);
  return m_objections;
}

std::vector<std::string> Clients::AskForAll(milliseconds deadline) {
  std::vector<std::string> without;
  for (std::size_t i = 0; i < m_jobs.size(); ++i) {
    if (!Jobs()[i].m_is_accepted) {
      continue;
    }
    int node = static_cast<int>(i) % m_nodes;
    bool answered = Ask(i, node);
    while (!answered && m_site->Now() < deadline) {
      node = (node + 1) % m_nodes;
      answered = Ask(i, node);
    }
    if (!answered) {
      without.push_back(m_jobs[i].m_plan.m_id);
    }
  }
  return without;
}

void Clients::SubmitLoop(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!m_stopping.load()) {
    std::size_t due = 0;
    bool found = false;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      found = m_next_due < m_jobs.size() &&
              m_jobs[m_next_due].m_plan.m_due <= m_site->Now() - m_started_at;
      due = found ? m_next_due++ : 0;
    }
    if (found) {
      Submit(due, static_cast<int>(random() % 1000));
    } else {
      Sleep(kAskPeriod);
    }
  }
}

void Clients::Submit(std::size_t index, int first_node) {
  const JobPlan plan = Jobs()[index].m_plan;
  for (int i = 0; i < kAttempts && !m_stopping.load(); ++i) {
    const int status =
        m_site->Submit((first_node + i) % m_nodes, plan, kTimeout);
    if (status >= 200 && status < 300) {
      std::lock_guard<std::mutex> lock(m_mutex);
      m_jobs[index].m_is_accepted = true;
      m_jobs[index].m_accepted_at = m_site->Now();
      return;
    }
    Sleep(kRetryDelay);
  }
}

void Clients::AskLoop(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (!m_stopping.load()) {
    Sleep(kAskPeriod);
    std::size_t index = 0;
    bool open = false;
    {
      std::lock_guard<std::mutex> lock(m_mutex);
      index = random() % m_jobs.size();
      open = m_jobs[index].m_is_accepted && !IsTerminal(m_jobs[index].m_state);
    }
    if (open) {
      Ask(index, static_cast<int>(random() % 1000) % m_nodes);
    }
  }
}

bool Clients::Ask(std::size_t index, int node) {
  const std::string id = Jobs()[index].m_plan.m_id;
  const milliseconds asked_at = m_site->Now();
  const std::string state = m_site->State(node, id, kTimeout);
  if (state.empty()) {
    return false;
  }
  std::lock_guard<std::mutex> lock(m_mutex);
  m_jobs[index].m_state = state;
  if (IsObjection(state)) {
    m_objections.push_back({id, state, node, asked_at, m_site->Now()});
  }
  return true;
}

}  // namespace fleet
