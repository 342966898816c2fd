// Implements the answer text; it depends on nothing but the request, so that any engine gives the same.
#include "radishflow/Emulator/expected_answer.h"

#include "radishflow/Support/hashing.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace radishflow {

std::string expectedToken(const std::string& model, const std::string& prompt, int index)
{
    std::array<char, 48> text {};
    std::snprintf(text.data(), text.size(), "t%d-%016" PRIx64 " ", index, stableHash(model + prompt));
    return text.data();
}

std::string expectedAnswer(const std::string& model, const std::string& prompt, int tokens)
{
    std::string answer;
    for (int index = 1; index <= tokens; ++index)
        answer += expectedToken(model, prompt, index);
    return answer;
}

} // namespace radishflow
