#include "agent/generation_store.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <set>
#include <stdexcept>
#include <utility>

#include "agent/directory_files.h"
#include "agent/posix_io.h"
#include "rollout/wire.h"

namespace mothrack::agent {
namespace {

namespace fs = std::filesystem;
using Cause = GenerationError::Cause;

GenerationError DiskError(const std::string& path, const std::string& error) {
  return {Cause::kDiskWriteFailed, path + ": " + error};
}

}  // namespace

GenerationStore::GenerationStore(std::string directory, Check check)
    : directory_(std::move(directory)), check_(std::move(check)) {
  std::error_code error;
  fs::create_directories(directory_, error);
  if (error) throw std::runtime_error(fs::path(directory_).parent_path().string() + ": " + error.message());
}

bool GenerationStore::Has(const std::string& generation) const {
  return rollout::IsValidName(generation) && fs::is_directory(DirectoryOf(generation));
}

std::vector<std::string> GenerationStore::Names() const {
  std::set<std::string> names;
  std::error_code error;
  for (fs::directory_iterator it(directory_, error), end; !error && it != end; it.increment(error)) {
    const std::string name = it->path().filename().string();
    if (rollout::IsValidName(name)) names.insert(name);
  }
  return {names.begin(), names.end()};
}

GenerationStore::Files GenerationStore::FilesOf(const std::string& generation) const {
  if (!Has(generation)) return {};
  return ReadDirectory(DirectoryOf(generation), DirectoryEntries::kAll).files;
}

std::optional<GenerationError> GenerationStore::Validate(const std::string& generation,
                                                         const Files& files) const {
  if (!rollout::IsValidName(generation)) {
    return GenerationError{Cause::kInvalidName,
                           "generation: a name has letters, digits, '-', '_' and '.', at most 64"};
  }
  if (files.empty() || files.size() > kMaxFiles) {
    return GenerationError{Cause::kInvalidFiles, "files: give 1 to " + std::to_string(kMaxFiles) + " files"};
  }
  for (const auto& [name, text] : files) {
    if (!rollout::IsValidName(name)) {
      return GenerationError{Cause::kInvalidFiles, "files: '" + name + "' is not a valid file name"};
    }
    if (text.size() > kMaxFileBytes) {
      return GenerationError{Cause::kInvalidFiles,
                             name + ": longer than " + std::to_string(kMaxFileBytes) + " bytes"};
    }
  }
  return std::nullopt;
}

std::optional<GenerationError> GenerationStore::Add(const std::string& generation, const Files& files) {
  if (auto invalid = Validate(generation, files)) return invalid;
  if (Has(generation)) {
    if (FilesOf(generation) == files) return std::nullopt;
    return GenerationError{
        Cause::kOtherFiles,
        generation + " is already stored with other files; give the new ones another name"};
  }
  if (Names().size() >= kMaxGenerations) {
    return GenerationError{Cause::kTooMany,
                           std::to_string(kMaxGenerations) +
                               " generations are already stored; remove some that no instance runs"};
  }
  return Write(generation, files);
}

std::optional<GenerationError> GenerationStore::Write(const std::string& generation,
                                                      const Files& files) const {
  const std::string target = DirectoryOf(generation);
  // A name that begins with a dot is not a valid generation name, so the generation does not exist before the
  // rename.
  const std::string temporary = directory_ + "/." + generation;
  std::error_code error;
  fs::remove_all(temporary, error);
  fs::create_directories(temporary, error);
  if (error) return DiskError(temporary, error.message());
  for (const auto& [name, text] : files) {
    const std::string path = (fs::path(temporary) / name).string();
    if (!WriteFileDurably(path, text)) return DiskError(path, std::strerror(errno));
  }
  if (const auto check_error = check_(generation, temporary)) {
    fs::remove_all(temporary, error);
    return GenerationError{Cause::kCheckFailed, check_error->Message()};
  }
  if (!SyncDirectory(temporary)) return DiskError(temporary, std::strerror(errno));
  fs::rename(temporary, target, error);
  if (error) return DiskError(target, error.message());
  if (SyncDirectory(directory_)) return std::nullopt;
  // Undoes the rename, if possible: a caller that gets an error repeats the request, which must not find the
  // generation stored.
  const GenerationError sync_error = DiskError(directory_, std::strerror(errno));
  fs::rename(target, temporary, error);
  return sync_error;
}

}  // namespace mothrack::agent
