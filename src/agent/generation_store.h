// Configuration generations on disk: DIRECTORY/NAME/ has the files of generation NAME. A generation is
// immutable and is stored completely or not at all. Called from the event loop only; Add() blocks it until
// the files are durable and checked.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "agent/generation_check.h"

namespace mothrack::agent {

// Why a generation was not stored.
struct GenerationError {
  enum class Cause {
    kInvalidName,     // the generation's name
    kInvalidFiles,    // no files, too many, one that is too long or has an invalid name
    kOtherFiles,      // a generation of this name is stored with other files
    kTooMany,         // kMaxGenerations are stored
    kCheckFailed,     // the files did not pass the operator's check
    kDiskWriteFailed  // ENOSPC, EDQUOT, EIO, ...; the message has errno's text
  };
  Cause cause = Cause::kInvalidName;
  std::string message;  // for the operator: names the generation, file or path, and the cause
};

class GenerationStore {
 public:
  // File name to text.
  using Files = std::map<std::string, std::string>;
  // Checks the files of a generation in a directory. Returns nullopt if they are valid.
  using Check =
      std::function<std::optional<CheckError>(const std::string& generation, const std::string& directory)>;

  static constexpr std::size_t kMaxGenerations = 32;
  static constexpr std::size_t kMaxFiles = 32;  // of a generation
  static constexpr std::size_t kMaxFileBytes = std::size_t{256} * 1024;

  // Creates the directory; throws std::runtime_error if that fails.
  GenerationStore(std::string directory, Check check);

  bool Has(const std::string& generation) const;
  std::vector<std::string> Names() const;
  // Returns the files as they were stored; empty if there is no such generation.
  Files FilesOf(const std::string& generation) const;
  // The directory of a generation's files, whether or not it exists.
  std::string DirectoryOf(const std::string& generation) const { return directory_ + '/' + generation; }

  // Stores a generation durably. Succeeds without effect if the generation is already stored with the same
  // files.
  std::optional<GenerationError> Add(const std::string& generation, const Files& files);

 private:
  std::optional<GenerationError> Validate(const std::string& generation, const Files& files) const;
  std::optional<GenerationError> Write(const std::string& generation, const Files& files) const;

  const std::string directory_;
  const Check check_;
};

}  // namespace mothrack::agent
