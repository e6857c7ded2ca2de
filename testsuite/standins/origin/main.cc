#include <atomic>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "base/pacer.h"
#include "standins/common/run_standin.h"

namespace {

using namespace verbenalead;

constexpr size_t kPieceBytes = 256 * 1024;

/// The folder that the origin serves, its link, which all transfers share, and
/// its counters.
struct Origin {
  explicit Origin(const Settings& settings)
      : m_folder(settings.Text("folder")),
        m_link(static_cast<uint64_t>(settings.Integer("link"))) {}

  const std::string m_folder;
  Pacer m_link;
  std::atomic<uint64_t> m_bytes{0};
  std::atomic<uint64_t> m_ranges{0};
};

std::string ReadRange(std::ifstream& file, uint64_t offset, uint64_t length) {
  std::string bytes(length, '\0');
  file.seekg(static_cast<std::streamoff>(offset));
  file.read(bytes.data(), static_cast<std::streamsize>(length));
  bytes.resize(static_cast<size_t>(file.gcount()));
  return bytes;
}

/// Whether this range is sent corrupt. Decided by count and not at random, so
/// that every run has the same share of corrupt ranges.
bool IsCorrupt(Origin& origin, int64_t percent) {
  const auto number = static_cast<int64_t>(++origin.m_ranges);
  return number * percent / 100 != (number - 1) * percent / 100;
}

Awaitable<void> SendRange(Origin& origin,
                          std::ifstream file,
                          bool corrupt,
                          int status,
                          uint64_t offset,
                          uint64_t length,
                          wire::ResponseWriter& writer) {
  bool alive = co_await writer.Start({status, {}});
  while (alive && length > 0) {
    std::string piece =
        ReadRange(file, offset, std::min<uint64_t>(length, kPieceBytes));
    if (piece.empty())
      co_return;
    if (std::exchange(corrupt, false))
      piece[0] = static_cast<char>(~piece[0]);
    co_await origin.m_link.Acquire(piece.size());
    origin.m_bytes += piece.size();
    offset += piece.size();
    length -= piece.size();
    alive = co_await writer.Write(std::move(piece));
  }
  co_await writer.Finish({});
}

Awaitable<void> Answer(std::shared_ptr<Origin> origin,
                       std::shared_ptr<standins::Faults> faults,
                       const wire::Request& request,
                       wire::ResponseWriter& writer) {
  if (request.m_path == "/stats") {
    co_await writer.Send(wire::JsonResponse(
        200, "{\"bytes\":" + std::to_string(origin->m_bytes) + "}"));
    co_return;
  }
  if (faults->TryConsume("busy")) {
    wire::Response busy{429, {}, "busy"};
    busy.m_headers["retry-after"] = "1";
    co_await writer.Send(std::move(busy));
    co_return;
  }
  const std::string path = wire::PathOf(request);
  std::ifstream file(origin->m_folder + path, std::ios::binary | std::ios::ate);
  if (!file || path.find("..") != std::string::npos) {
    co_await writer.Send({404, {}, "no such file"});
    co_return;
  }
  const auto size = static_cast<uint64_t>(file.tellg());
  const std::string range = wire::Get(request.m_headers, "range");
  uint64_t offset = 0;
  uint64_t last = size - 1;
  if (range.starts_with("bytes=")) {
    offset = std::strtoull(range.c_str() + 6, nullptr, 10);
    last = std::strtoull(range.c_str() + range.find('-') + 1, nullptr, 10);
  }
  if (offset > last || last >= size) {
    co_await writer.Send({416, {}, "bad range"});
    co_return;
  }
  const bool corrupt =
      !range.empty() && IsCorrupt(*origin, faults->Number("corrupt_percent"));
  co_await SendRange(*origin, std::move(file), corrupt,
                     range.empty() ? 200 : 206, offset, last - offset + 1,
                     writer);
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunStandin(
      argc, argv, "standin_origin",
      "Stands in for the rate-limited origin of weights: GET with ranges. "
      "Faults of its own: {\"busy\": N} answers the next N with 429; "
      "{\"corrupt_percent\": P} sends so many ranges of 100 with a wrong byte.",
      standins::StandinSettings()
          .Text("folder", ".", "folder of files it serves")
          .Integer("link", 0, 0, int64_t{1} << 40, "bytes/s",
                   "rate of its link; 0: no limit"),
      [](const Settings& settings, std::shared_ptr<standins::Faults> faults) {
        auto origin = std::make_shared<Origin>(settings);
        return [origin, faults](const wire::Request& request,
                                wire::ResponseWriter& writer) {
          return Answer(origin, faults, request, writer);
        };
      });
}
