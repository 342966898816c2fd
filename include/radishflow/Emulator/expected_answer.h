// Declares the text that the engine's stand-in answers with, so that test clients can check completeness.
#pragma once

#include <string>

namespace radishflow {

/// Returns the i-th token, from 1: "t<i>-<stableHash(model + prompt) as 16 hexadecimal digits> ".
std::string expectedToken(const std::string& model, const std::string& prompt, int index);

/// Returns the first so many tokens; the prompt is the content of the last user message.
std::string expectedAnswer(const std::string& model, const std::string& prompt, int tokens);

} // namespace radishflow
