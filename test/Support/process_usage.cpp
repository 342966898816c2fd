// Implements usageOf by reading /proc.
#include "process_usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace radishflow {

process_usage usageOf(pid_t pid)
{
    process_usage usage;
    const std::string folder = "/proc/" + std::to_string(pid);
    std::string line;
    std::getline(std::ifstream { folder + "/stat" }, line);
    // The program name in parentheses may contain spaces; user and system time are the 12th and 13th fields after it.
    std::istringstream words { line.substr(line.rfind(')') == std::string::npos ? 0 : line.rfind(')') + 1) };
    std::string word;
    for (int index = 1; words >> word; ++index) {
        if (index == 12 || index == 13)
            usage.processorSeconds += std::stod(word) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    }
    std::ifstream status { folder + "/status" };
    while (status >> word) {
        double value = 0;
        if (word == "VmRSS:" && status >> value)
            usage.residentMegabytes = value / 1024;
        if (word == "VmHWM:" && status >> value)
            usage.peakMegabytes = value / 1024;
        if (word == "Threads:" && status >> value)
            usage.threads = static_cast<int>(value);
    }
    return usage;
}

} // namespace radishflow
