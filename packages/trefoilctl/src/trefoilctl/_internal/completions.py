"""Shell completion; the bash script supports commands of two words."""

from collections.abc import Iterable

from cleo.commands.command import Command
from cleo.commands.completions_command import CompletionsCommand
from cleo.io.inputs.option import Option

# The template of the console library supports only commands of one word. This one requires only
# bash. Bash splits words at ":" and "=", so a URL consists of several words.
_BASH_TEMPLATE = """\
{function}()
{{
    local cur="${{COMP_WORDS[COMP_CWORD]}}" word="" skip=0 i
    local -a names=()
    COMPREPLY=()
    for ((i = 1; i < COMP_CWORD; i++)); do
        word="${{COMP_WORDS[i]}}"
        if [[ $word == [:=] ]]; then
            skip=1
        elif ((skip)); then
            skip=0
        elif [[ $word == -* ]]; then
            case "$word" in
                {valued}) skip=1 ;;
            esac
        else
            names+=("$word")
        fi
    done
    if ((skip)) || [[ $cur == [:=] ]]; then
        return 0
    fi
    if [[ $cur == -* ]]; then
        local options="{shared}"
        case "${{names[*]:0:2}}" in
{options}
        esac
        COMPREPLY=($(compgen -W "$options" -- "$cur"))
        return 0
    fi
    case "${{#names[@]}}" in
        0) COMPREPLY=($(compgen -W "{first}" -- "$cur")) ;;
        1)
            case "${{names[0]}}" in
{second}
            esac
            ;;
    esac
}}

{complete}"""


class CtlCompletionsCommand(CompletionsCommand):
    """Prints a completion script."""

    def render_bash(self) -> str:
        """Return the script for bash."""
        script, path = self._get_script_name_and_path()
        function = self._generate_function_name(script, path)
        assert self.application
        registered = self.application.all().values()
        visible = [command for command in registered if command.name and not command.hidden]
        names = sorted({command.name or "" for command in visible})
        shared = self.application.definition.options
        own = [option for command in visible for option in command.definition.options]
        aliases = (script, path, *self.option("alias"))
        return _BASH_TEMPLATE.format(
            function=function,
            valued="|".join(_list_value_options([*own, *shared])),
            shared=" ".join(sorted(f"--{option.name}" for option in shared)),
            options="\n".join(_format_option_case(command) for command in visible),
            first=" ".join(sorted({name.partition(" ")[0] for name in names})),
            second="\n".join(_format_second_word_cases(names)),
            complete="\n".join(f"complete -o default -F {function} {name}" for name in aliases),
        )


def _list_value_options(options: Iterable[Option]) -> list[str]:
    """Return the long and short forms of the options that take a value."""
    valued = [option for option in options if option.accepts_value()]
    forms = {f"--{option.name}" for option in valued}
    return sorted(forms | {f"-{option.shortcut}" for option in valued if option.shortcut})


def _format_option_case(command: Command) -> str:
    own = " ".join(sorted(f"--{option.name}" for option in command.definition.options))
    # After a command of one word, the second word is its first argument.
    pattern = (
        f'"{command.name}"' if " " in str(command.name) else f'"{command.name}"|"{command.name} "*'
    )
    return f'            {pattern}) options="$options {own}" ;;'


def _format_second_word_cases(names: Iterable[str]) -> list[str]:
    verbs: dict[str, list[str]] = {}
    for name in names:
        first, _, second = name.partition(" ")
        if second:
            verbs.setdefault(first, []).append(second)
    return [
        f'                {first}) COMPREPLY=($(compgen -W "{" ".join(found)}" -- "$cur")) ;;'
        for first, found in sorted(verbs.items())
    ]
