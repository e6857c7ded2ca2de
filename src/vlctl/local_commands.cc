#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "base/catch_failure.h"
#include "base/sha256_hasher.h"
#include "daemon/entry_settings.h"
#include "daemon/target_settings.h"
#include "model/manifest_builder.h"
#include "vlctl/commands.h"

namespace verbenalead::vlctl {
namespace {

Result<model::Manifest> ReadManifest(std::ifstream& file, uint64_t chunk_size) {
  model::ManifestBuilder builder;
  Sha256Hasher hasher;
  uint64_t size = 0;
  std::string chunk(chunk_size, '\0');
  while (file.read(chunk.data(), static_cast<std::streamsize>(chunk_size)) ||
         file.gcount() > 0) {
    const std::string_view bytes(chunk.data(),
                                 static_cast<size_t>(file.gcount()));
    hasher.Update(bytes);
    builder.Chunk(Sha256(bytes));
    size += bytes.size();
  }
  return builder.WeightsDigest(hasher.Finish())
      .Size(size)
      .ChunkSize(chunk_size)
      .Build();
}

}  // namespace

ExitCode CheckSettings(const std::string& program, const std::string& path) {
  if (program != "vlentry" && program != "vltarget") {
    std::cerr << "vlctl: the program is vlentry or vltarget\n";
    return kUsageError;
  }
  const SettingsSchema schema =
      program == "vlentry" ? daemon::EntrySettings() : daemon::TargetSettings();
  auto settings = CatchFailure([&] { return schema.Load(path); });
  if (!settings) {
    std::cerr << "vlctl: " << ToString(settings.error()) << "\n";
    return kUsageError;
  }
  std::cout << path << ": fine\n";
  return kOk;
}

ExitCode MakeManifest(const std::string& path,
                      const std::string& model,
                      const std::string& name,
                      uint64_t chunk_size) {
  std::ifstream file(path, std::ios::binary);
  auto manifest = CatchFailure([&] { return ReadManifest(file, chunk_size); });
  if (!manifest) {
    std::cerr << "vlctl: " << path << ": " << ToString(manifest.error())
              << "\n";
    return kUsageError;
  }
  const std::string text = ToJson(*manifest);
  const std::string base = std::filesystem::path(path).filename().string();
  std::ofstream(path + ".manifest.json") << text;
  boost::json::object spec{{"model", model},
                           {"weights", "/" + base},
                           {"manifest", "/" + base + ".manifest.json"},
                           {"manifest_digest", ToString(Sha256(text))},
                           {"digest", ToString(manifest->digest())}};
  std::cout << boost::json::serialize(boost::json::object{
                   {"kind", "version"}, {"name", name}, {"spec", spec}})
            << "\n";
  return kOk;
}

}  // namespace verbenalead::vlctl
