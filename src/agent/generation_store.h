// Configuration generations on disk: DIRECTORY/NAME/ with a generation's files. A generation never changes
// once it is kept; it is there complete, or not at all. Called from the event loop only.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mothrack::agent {

// Why a generation was not kept.
struct GenerationError {
  enum class Cause {
    kInvalidName,     // of the generation
    kInvalidFiles,    // none, too many, too long, or a name that is none
    kOtherFiles,      // there is one of this name, with other files
    kTooMany,         // kMaxGenerations are kept
    kCheckFailed,     // the operator's check refuses the files
    kDiskWriteFailed  // ENOSPC, EDQUOT, EIO, ...; the message has errno's text. Nothing is kept
  };
  Cause cause = Cause::kInvalidName;
  std::string message;  // for whoever sent it, with the place
};

class GenerationStore {
 public:
  // Name to text.
  using Files = std::map<std::string, std::string>;
  // Checks the files of a generation that lie in a directory; returns what is wrong with them, empty:
  // nothing.
  using Check = std::function<std::string(const std::string& generation, const std::string& directory)>;

  static constexpr std::size_t kMaxGenerations = 32;
  static constexpr std::size_t kMaxFiles = 32;  // of a generation
  static constexpr std::size_t kMaxFileBytes = std::size_t{256} * 1024;

  // Throws std::runtime_error where the directory can't be made.
  GenerationStore(std::string directory, Check check);

  bool Has(const std::string& generation) const;
  std::vector<std::string> Names() const;
  // As they were given; none where there is no such generation.
  Files FilesOf(const std::string& generation) const;
  // Where a generation's files lie, whether or not it is kept.
  std::string DirectoryOf(const std::string& generation) const { return directory_ + '/' + generation; }

  // Keeps a generation. No error: it is durable, or was kept before with the same files.
  std::optional<GenerationError> Keep(const std::string& generation, const Files& files);

 private:
  std::optional<GenerationError> Validate(const std::string& generation, const Files& files) const;
  std::optional<GenerationError> Write(const std::string& generation, const Files& files) const;

  const std::string directory_;
  const Check check_;
};

}  // namespace mothrack::agent
