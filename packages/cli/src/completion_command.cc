// `azurespur completion`: completion scripts for shells, made from the
// commands themselves.

#include <CLI/CLI.hpp>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "commands.h"

namespace azurespur::cli {

namespace {

// One command and what may follow it.
struct Completion {
  std::string command;  // Such as "lists show"; empty for the program.
  std::vector<std::string> words;
  std::vector<std::string> flags;  // With leading dashes.
};

std::vector<std::string> Flags(const CLI::App& app) {
  std::vector<std::string> flags;
  for (const CLI::Option* option : app.get_options()) {
    for (const std::string& name : option->get_lnames()) {
      flags.push_back("--" + name);
    }
  }
  return flags;
}

void Collect(const CLI::App& app,
             const std::string& path,
             std::vector<Completion>& result) {
  Completion completion;
  completion.command = path;
  completion.flags = Flags(app);
  const auto subcommands =
      app.get_subcommands([](const CLI::App*) { return true; });
  for (const CLI::App* subcommand : subcommands) {
    completion.words.push_back(subcommand->get_name());
  }
  const CLI::Option* name = app.get_option_no_throw("NAME");
  if (name != nullptr && subcommands.empty()) {
    completion.words.insert(completion.words.end(), {"plans", "allowances"});
  }
  result.push_back(std::move(completion));
  for (const CLI::App* subcommand : subcommands) {
    Collect(*subcommand,
            path.empty() ? subcommand->get_name()
                         : path + " " + subcommand->get_name(),
            result);
  }
}

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

std::string Candidates(const Completion& completion) {
  std::vector<std::string> all = completion.words;
  all.insert(all.end(), completion.flags.begin(), completion.flags.end());
  return Join(all);
}

// Shell code that sets `path` to the command typed so far. Words that begin
// with "-" are flags; other words that name no command end the path.
void PrintCases(std::ostream& out, const std::vector<Completion>& all) {
  for (const Completion& completion : all) {
    out << "    \"" << completion.command << "\") candidates=\""
        << Candidates(completion) << "\" ;;\n";
  }
}

void PrintKnownPaths(std::ostream& out, const std::vector<Completion>& all) {
  std::string separator;
  for (const Completion& completion : all) {
    if (!completion.command.empty()) {
      out << separator << '"' << completion.command << '"';
      separator = "|";
    }
  }
}

void PrintBash(std::ostream& out, const std::vector<Completion>& all) {
  out << "# bash completion for azurespur. Made by `azurespur completion "
         "bash`.\n"
         "_azurespur() {\n"
         "  local word path=\"\" next candidates=\"\"\n"
         "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
         "    next=\"${path:+$path }$word\"\n"
         "    case \"$next\" in\n      ";
  PrintKnownPaths(out, all);
  out << ") path=\"$next\" ;;\n"
         "    esac\n"
         "  done\n"
         "  case \"$path\" in\n";
  PrintCases(out, all);
  out << "  esac\n"
         "  COMPREPLY=($(compgen -W \"$candidates\" -- "
         "\"${COMP_WORDS[COMP_CWORD]}\"))\n"
         "}\n"
         "complete -o default -F _azurespur azurespur\n";
}

void PrintZsh(std::ostream& out, const std::vector<Completion>& all) {
  out << "#compdef azurespur\n"
         "# zsh completion for azurespur. Made by `azurespur completion "
         "zsh`.\n"
         "_azurespur() {\n"
         "  local word path_so_far=\"\" next candidates=\"\"\n"
         "  for word in \"${(@)words[2,CURRENT-1]}\"; do\n"
         "    next=\"${path_so_far:+$path_so_far }$word\"\n"
         "    case \"$next\" in\n      ";
  PrintKnownPaths(out, all);
  out << ") path_so_far=\"$next\" ;;\n"
         "    esac\n"
         "  done\n"
         "  case \"$path_so_far\" in\n";
  PrintCases(out, all);
  out << "  esac\n"
         "  compadd -- ${=candidates}\n"
         "  _files\n"
         "}\n"
         "compdef _azurespur azurespur\n";
}

std::string FishCondition(const std::string& command) {
  if (command.empty()) {
    return "__fish_use_subcommand";
  }
  std::string condition;
  size_t begin = 0;
  while (begin < command.size()) {
    const size_t end = std::min(command.find(' ', begin), command.size());
    condition += (condition.empty() ? "" : "; and ") +
                 std::string("__fish_seen_subcommand_from ") +
                 command.substr(begin, end - begin);
    begin = end + 1;
  }
  return condition;
}

void PrintFish(std::ostream& out, const std::vector<Completion>& all) {
  out << "# fish completion for azurespur. Made by `azurespur completion "
         "fish`.\n";
  for (const Completion& completion : all) {
    const std::string head =
        "complete -c azurespur -n '" + FishCondition(completion.command) + "' ";
    if (!completion.words.empty()) {
      out << head << "-a '" << Join(completion.words) << "'\n";
    }
    for (const std::string& flag : completion.flags) {
      out << head << "-l " << flag.substr(2) << '\n';
    }
  }
}

ExitCode PrintCompletion(Context& context,
                         const CLI::App& app,
                         const std::string& shell) {
  std::vector<Completion> all;
  Collect(app, "", all);
  std::ostream& out = context.streams.out;
  if (shell == "bash") {
    PrintBash(out, all);
  } else if (shell == "zsh") {
    PrintZsh(out, all);
  } else {
    PrintFish(out, all);
  }
  return ExitCode::kOk;
}

}  // namespace

void AddCompletionCommand(CLI::App& app, Command& chosen) {
  CLI::App* command = app.add_subcommand(
      "completion", "Print a completion script: bash, zsh or fish");
  const auto shell = std::make_shared<std::string>();
  command->add_option("SHELL", *shell, "bash, zsh or fish")
      ->required()
      ->check(CLI::IsMember({"bash", "zsh", "fish"}));
  command->callback([&chosen, &app, shell] {
    chosen = [&app, shell](Context& context) {
      return PrintCompletion(context, app, *shell);
    };
  });
}

}  // namespace azurespur::cli
