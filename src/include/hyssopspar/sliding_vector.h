/// \file
/// A vector whose first elements can be dropped without renumbering the others.

#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace hyssopspar {

/// Elements have indexes from First() to size() - 1. References are invalidated
/// by Resize() and DropBefore().
template <class T>
class SlidingVector {
 public:
  using const_iterator = typename std::vector<T>::const_iterator;

  std::size_t First() const { return m_first; }
  /// One more than the index of the last element.
  std::size_t size() const { return m_first + m_items.size(); }

  T& operator[](std::size_t index) { return m_items[index - m_first]; }
  const T& operator[](std::size_t index) const {
    return m_items[index - m_first];
  }
  const_iterator begin() const { return m_items.begin(); }
  const_iterator end() const { return m_items.end(); }

  /// Appends default elements. \p size is not less than size().
  void Resize(std::size_t size) { m_items.resize(size - m_first); }

  /// Drops the elements before \p index. If that is not less than size(), the
  /// next element gets this index.
  void DropBefore(std::size_t index) {
    if (index <= m_first) {
      return;
    }
    const std::size_t dropped = std::min(index - m_first, m_items.size());
    m_items.erase(m_items.begin(),
                  m_items.begin() + static_cast<std::ptrdiff_t>(dropped));
    m_first = index;
  }

 private:
  std::vector<T> m_items;
  std::size_t m_first = 0;
};

}  // namespace hyssopspar
