#include "hyssopspar/json_depth.h"

namespace hyssopspar {

bool IsNestedDeeperThan(const std::string& text, std::size_t depth) {
  std::size_t open = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') {
      in_string = !in_string;
    } else if (in_string) {
      i += c == '\\' ? 1 : 0;
    } else if (c == '[' || c == '{') {
      if (++open > depth) {
        return true;
      }
    } else if ((c == ']' || c == '}') && open > 0) {
      --open;
    }
  }
  return false;
}

}  // namespace hyssopspar
