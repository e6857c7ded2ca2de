#include "decide/attempts/event_splitter.h"

namespace verbenalead::decide {
namespace {

/// Position after the blank line that ends the event beginning at `from`, or
/// npos if the event is incomplete.
size_t EndOfEvent(std::string_view text, size_t from) {
  while (true) {
    const size_t newline = text.find('\n', from);
    if (newline == std::string_view::npos)
      return newline;
    size_t next = newline + 1;
    if (next < text.size() && text[next] == '\r')
      ++next;
    if (next < text.size() && text[next] == '\n')
      return next + 1;
    from = newline + 1;
  }
}

/// The value of the `id` field of `event`, or "".
std::string_view IdOf(std::string_view event) {
  constexpr std::string_view kField = "id:";
  size_t begin = 0;
  while (begin < event.size()) {
    size_t end = event.find('\n', begin);
    if (end == std::string_view::npos)
      end = event.size();
    std::string_view line = event.substr(begin, end - begin);
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      while (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
      while (!line.empty() && (line.back() == '\r' || line.back() == ' '))
        line.remove_suffix(1);
      return line;
    }
    begin = end + 1;
  }
  return {};
}

}  // namespace

std::string ExtractEvents(EventSplitter& splitter, std::string_view bytes) {
  splitter.m_partial += bytes;
  const std::string_view text = splitter.m_partial;
  size_t done = 0;
  size_t end = EndOfEvent(text, 0);
  while (end != std::string_view::npos) {
    const std::string_view id = IdOf(text.substr(done, end - done));
    if (!id.empty())
      splitter.m_last_id = std::string(id);
    ++splitter.m_events;
    done = end;
    end = EndOfEvent(text, done);
  }
  std::string events(text.substr(0, done));
  splitter.m_partial.erase(0, done);
  return events;
}

void DiscardPartialEvent(EventSplitter& splitter) {
  splitter.m_partial.clear();
}

}  // namespace verbenalead::decide
